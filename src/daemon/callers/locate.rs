//! The answer to a caller that asks which daemons to use.

use compact_str::ToCompactString;
use viz::{Request, RequestExt, Response};

use crate::{
    daemon::{
        callers::{head::authenticate, malformed, reply::json},
        locate::LocateQuery,
        node::Node,
    },
    protocol::problem::Refusal,
};

/// Answers a customer from what the daemon knows now.
pub(super) fn serve(node: &Node, req: &Request) -> Result<Response, Refusal> {
    authenticate(node, req)?;
    let query: LocateQuery = req
        .query()
        .map_err(|e| malformed(format!("the query: {e}")))?;
    let prefix = node.claims.prefix().map(|p| p.to_compact_string());
    json(&node.locate.answer(&node.core, &query, prefix))
}
