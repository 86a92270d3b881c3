//! Rollouts and verdicts: limits the unrated responses of versions and ejects faulty ones.

mod evidence;
mod shares;
mod trial;
mod trials;

pub use evidence::{Baseline, Evidence};
pub use shares::{Share, share};
pub use trial::{Gate, Trial, TrustState};
pub use trials::{Fleet, Ratings, Trials, Verdict, VerdictKind};
