//! Contract of every [`EngineApi`] implementation.

use flaxward_backends::{EngineApi, EngineError};
use flaxward_types::engine::{HeldState, Inventory, Order, OrderAction, OrderAnswer};
use flaxward_types::{ArtifactId, AttemptId, BootId, OrderId, Term};
use futures::future::join_all;

/// Accelerator memory that the engine under test must have, in bytes.
pub const MEMORY: u64 = 100;

/// Checks the whole contract on an empty engine with [`MEMORY`] bytes.
pub async fn engine_contract(api: &dyn EngineApi, address: &str) {
    let engine = EngineUnderTest { api, address };
    engine.a_lower_term_is_refused().await;
    engine.another_boot_is_refused().await;
    engine.a_retried_order_has_no_further_effect().await;
    engine.memory_is_never_overcommitted().await;
    engine.an_adapter_needs_its_base().await;
    engine.an_unknown_stream_is_reported().await;
}

/// An engine and its address.
pub struct EngineUnderTest<'a> {
    /// The client.
    pub api: &'a dyn EngineApi,
    /// The address.
    pub address: &'a str,
}

/// Kind of an order response, without its values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    Accepted,
    StaleTerm,
    OtherBoot,
    NoMemory,
    Refused,
}

/// Parses an artifact id.
pub fn artifact(text: &str) -> ArtifactId {
    text.parse().expect("a literal artifact is valid")
}

/// An order to load.
pub fn load(text: &str, bytes: u64) -> OrderAction {
    OrderAction::Load {
        artifact: artifact(text),
        checkpoint: format!("checkpoints/{text}"),
        bytes,
    }
}

/// An order to unload.
pub fn unload(text: &str) -> OrderAction {
    OrderAction::Unload {
        artifact: artifact(text),
    }
}

impl EngineUnderTest<'_> {
    async fn a_lower_term_is_refused(&self) {
        self.expect(1, 5, load("fenced@v1", 10), AnswerKind::Accepted)
            .await;
        self.expect(2, 4, load("late@v1", 10), AnswerKind::StaleTerm)
            .await;
        self.expect(3, 4, unload("fenced@v1"), AnswerKind::StaleTerm)
            .await;
        self.expect(4, 7, OrderAction::Seal, AnswerKind::Accepted)
            .await;
        self.expect(5, 6, unload("fenced@v1"), AnswerKind::StaleTerm)
            .await;
        let inventory = self.inventory().await;
        assert_eq!(inventory.term, Term(7));
        assert!(inventory.held(&artifact("fenced@v1")).is_some());
        assert!(inventory.held(&artifact("late@v1")).is_none());
        self.ready("fenced@v1").await;
        self.expect(6, 7, unload("fenced@v1"), AnswerKind::Accepted)
            .await;
        self.gone("fenced@v1").await;
    }

    async fn another_boot_is_refused(&self) {
        let boot = self.inventory().await.boot;
        let order = Order {
            boot: BootId(boot.0.wrapping_add(1)),
            ..self.order(10, 9, OrderAction::Seal).await
        };
        let answer = self.api.order(self.address, &order).await;
        assert_eq!(answer, Ok(OrderAnswer::OtherBoot { boot }));
        assert_eq!(
            self.inventory().await.term,
            Term(7),
            "an order for another boot does not change the term"
        );
    }

    async fn a_retried_order_has_no_further_effect(&self) {
        self.expect(20, 7, load("once@v1", 60), AnswerKind::Accepted)
            .await;
        self.expect(20, 7, load("once@v1", 60), AnswerKind::Accepted)
            .await;
        assert_eq!(self.inventory().await.used(), 60);
        self.expect(21, 7, load("more@v1", 60), AnswerKind::NoMemory)
            .await;
        self.ready("once@v1").await;
        self.expect(22, 7, unload("once@v1"), AnswerKind::Accepted)
            .await;
        self.gone("once@v1").await;
        self.expect(20, 7, load("once@v1", 60), AnswerKind::Accepted)
            .await;
        self.expect(21, 7, load("more@v1", 60), AnswerKind::NoMemory)
            .await;
        assert_eq!(
            self.inventory().await.used(),
            0,
            "a retried old order has no effect"
        );
    }

    async fn memory_is_never_overcommitted(&self) {
        let loads = (0..8).map(|index| async move {
            let order = load(&format!("part-{index}@v1"), 30);
            self.send(30 + index, 7, order).await
        });
        let answers = join_all(loads).await;
        let accepted = answers
            .iter()
            .filter(|answer_kind| **answer_kind == AnswerKind::Accepted);
        assert_eq!(accepted.count(), 3, "{answers:?}");
        let inventory = self.inventory().await;
        assert_eq!(inventory.used(), 90);
        assert!(inventory.used() <= inventory.memory);
        for (index, held) in (0..).zip(inventory.artifacts) {
            let name = held.artifact.to_string();
            self.ready(&name).await;
            self.expect(40 + index, 7, unload(&name), AnswerKind::Accepted)
                .await;
            self.gone(&name).await;
        }
    }

    async fn an_adapter_needs_its_base(&self) {
        self.expect(50, 7, load("base:tuned@v1", 10), AnswerKind::Refused)
            .await;
        self.expect(51, 7, load("base@v1", 50), AnswerKind::Accepted)
            .await;
        self.ready("base@v1").await;
        self.expect(52, 7, load("base:tuned@v1", 10), AnswerKind::Accepted)
            .await;
        self.expect(53, 7, unload("base@v1"), AnswerKind::Refused)
            .await;
        self.ready("base:tuned@v1").await;
        self.expect(54, 7, unload("base:tuned@v1"), AnswerKind::Accepted)
            .await;
        self.gone("base:tuned@v1").await;
        self.expect(55, 7, unload("base@v1"), AnswerKind::Accepted)
            .await;
        self.gone("base@v1").await;
    }

    async fn an_unknown_stream_is_reported(&self) {
        let attempt = AttemptId(77);
        let cancelled = self.api.cancel(self.address, attempt).await;
        assert_eq!(cancelled, Err(EngineError::UnknownStream));
        let exported = self.api.export_kv(self.address, attempt).await;
        assert_eq!(exported, Err(EngineError::UnknownStream));
    }

    /// Reads the inventory.
    pub async fn inventory(&self) -> Inventory {
        let inventory = self.api.inventory(self.address).await;
        inventory.expect("the engine responds")
    }

    /// Builds an order for the engine's current boot.
    pub async fn order(&self, id: u128, term: u64, action: OrderAction) -> Order {
        Order {
            id: OrderId(id),
            term: Term(term),
            boot: self.inventory().await.boot,
            action,
        }
    }

    /// Sends an order and returns the kind of its response.
    pub async fn send(&self, id: u128, term: u64, action: OrderAction) -> AnswerKind {
        let order = self.order(id, term, action).await;
        let answer = self.api.order(self.address, &order).await;
        answer_kind(&answer.expect("the engine responds"))
    }

    /// Sends an order and checks the kind of its response.
    pub async fn expect(&self, id: u128, term: u64, action: OrderAction, expected: AnswerKind) {
        let text = format!("order {id} under term {term}: {action:?}");
        assert_eq!(self.send(id, term, action).await, expected, "{text}");
    }

    /// Waits until an artifact is ready.
    pub async fn ready(&self, text: &str) {
        self.reach(text, Some(HeldState::Ready)).await;
    }

    /// Waits until an artifact is no longer in the inventory.
    pub async fn gone(&self, text: &str) {
        self.reach(text, None).await;
    }

    /// Waits until an artifact is in a state; panics after 500 polls, 10 ms apart.
    pub async fn reach(&self, text: &str, state: Option<HeldState>) {
        let wanted = artifact(text);
        for _ in 0..500 {
            let inventory = self.inventory().await;
            if inventory.held(&wanted).map(|held| held.state) == state {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        }
        panic!("{text} does not reach the state {state:?}");
    }
}

fn answer_kind(answer: &OrderAnswer) -> AnswerKind {
    match answer {
        OrderAnswer::Accepted(_) => AnswerKind::Accepted,
        OrderAnswer::StaleTerm { .. } => AnswerKind::StaleTerm,
        OrderAnswer::OtherBoot { .. } => AnswerKind::OtherBoot,
        OrderAnswer::NoMemory { .. } => AnswerKind::NoMemory,
        OrderAnswer::Refused { .. } => AnswerKind::Refused,
    }
}
