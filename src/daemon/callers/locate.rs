//! The answer to a caller that asks which daemons to use.

use compact_str::ToCompactString;
use viz::{Request, RequestExt, Response};

use crate::{
    daemon::{
        callers::{head::authenticate, malformed, reply::json},
        locate::LocateQuery,
        parts::Parts,
    },
    protocol::problem::Refusal,
};

/// Answers a customer from what the daemon knows now.
pub(super) fn serve(parts: &Parts, req: &Request) -> Result<Response, Refusal> {
    authenticate(parts, req)?;
    let query: LocateQuery = req
        .query()
        .map_err(|e| malformed(format!("the query: {e}")))?;
    let prefix = parts.claims.prefix().map(|p| p.to_compact_string());
    json(&parts.locate.answer(&parts.core, &query, prefix))
}
