//! Finds values in JSON text without building them.

/// The text of the value under a key of an object; `None` if there is none.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let name_end = skip_value(bytes, at);
        let name = &text[at + 1..name_end - 1];
        at = skip_space(bytes, name_end) + 1;
        at = skip_space(bytes, at);
        let end = skip_value(bytes, at);
        if name == key {
            return Some(&text[at..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// The content of a JSON string without escapes.
pub fn string(text: &str) -> &str {
    text.trim_matches('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// The index after the value that begins at an index.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    while let Some(&byte) = bytes.get(at) {
        match byte {
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return at;
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return at + 1;
                }
            }
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}
