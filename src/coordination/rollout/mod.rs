//! Roll-outs and verdicts: how many unrated answers a version may have, and when it is ejected.

mod evidence;
mod shares;
mod trial;
mod trials;

pub use evidence::{Baseline, Evidence};
pub use shares::{Share, share};
pub use trial::{Gate, Trial, TrustState};
pub use trials::{Fleet, Ratings, Trials, Verdict, VerdictKind};
