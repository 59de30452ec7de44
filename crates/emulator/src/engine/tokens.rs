//! The text that an engine stand-in answers: a pure function of prompt, model and index, so that
//! whoever reads an answer can tell whether it is whole and its own.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of prompt that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens of an answer if the request does not say.
pub const DEFAULT_MAX_TOKENS: u32 = 16;

/// Bytes of the text of one token.
pub const TOKEN_TEXT_BYTES: usize = 7;

/// Seed of the answer to a prompt by an artifact (`model@version` or `model:adapter@version`).
pub fn answer_seed(artifact: &str, prompt: &str) -> u64 {
    xxh3_64_with_seed(prompt.as_bytes(), xxh3_64(artifact.as_bytes()))
}

/// Digest of a prompt, as it stands in records.
pub fn prompt_digest(prompt: &str) -> String {
    format!("{:016x}", xxh3_64(prompt.as_bytes()))
}

/// The text of one token: a space and six hexadecimal digits.
pub fn token_text(seed: u64, index: u32) -> [u8; TOKEN_TEXT_BYTES] {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut bits = mix(seed, index);
    let mut text = [b' '; TOKEN_TEXT_BYTES];
    for byte in &mut text[1..] {
        *byte = DIGITS[(bits & 15) as usize];
        bits >>= 4;
    }
    text
}

/// The whole answer of `tokens` tokens.
pub fn answer_text(artifact: &str, prompt: &str, tokens: u32) -> String {
    let seed = answer_seed(artifact, prompt);
    (0..tokens)
        .flat_map(|index| token_text(seed, index))
        .map(char::from)
        .collect()
}

/// Tokens of a prompt.
pub fn prompt_tokens(prompt: &str) -> u64 {
    prompt.len().div_ceil(BYTES_PER_TOKEN) as u64
}

/// A finalizer of `SplitMix64`: every bit of the input reaches every bit of the output.
fn mix(seed: u64, index: u32) -> u64 {
    let mut bits = seed.wrapping_add(u64::from(index).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// The prompt that the messages of a chat amount to.
pub fn chat_prompt(messages: &serde_json::Value) -> String {
    messages.to_string()
}
