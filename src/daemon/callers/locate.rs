//! The answer to a caller that asks which daemons to use.

use compact_str::ToCompactString;
use viz::{Request, RequestExt, Response};

use crate::{
    daemon::{
        callers::{head::authenticate, malformed, reply::json_response},
        components::Components,
        locate::LocateQuery,
    },
    protocol::problem::Refusal,
};

/// Answers a customer from what the daemon knows now.
pub(super) fn serve(components: &Components, req: &Request) -> Result<Response, Refusal> {
    authenticate(components, req)?;
    let query: LocateQuery = req
        .query()
        .map_err(|e| malformed(format!("the query: {e}")))?;
    let prefix = components.claims.prefix().map(|p| p.to_compact_string());
    json_response(
        &components
            .locate
            .find_daemons(&components.core, &query, prefix),
    )
}
