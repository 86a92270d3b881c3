//! `GET /v1/locate`: the daemons that a caller should use.

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

/// Authenticates the caller and returns the daemons to use.
pub(super) fn serve(components: &Components, req: &Request) -> Result<Response, Refusal> {
    authenticate(components, req)?;
    let query: LocateQuery = req
        .query()
        .map_err(|e| malformed(format!("invalid query: {e}")))?;
    let prefix = components.claims.prefix().map(|p| p.to_compact_string());
    json_response(
        &components
            .locate
            .find_daemons(&components.core, &query, prefix),
    )
}
