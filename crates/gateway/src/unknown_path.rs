//! Fallback for paths that match no endpoint.

use std::sync::Arc;

use flaxward_types::{Refusal, ResultCode};
use salvo::prelude::{Request, Response};

use crate::endpoint::Endpoint;
use crate::gateway::Gateway;

/// Refuses every request as unknown.
pub(crate) struct UnknownPath;

impl Endpoint for UnknownPath {
    async fn answer(
        &self,
        _gateway: &Arc<Gateway>,
        _request: &mut Request,
        _response: &mut Response,
        _request_id: &str,
    ) -> Result<(), Refusal> {
        Err(Refusal::new(ResultCode::UnknownPath))
    }
}
