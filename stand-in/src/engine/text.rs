//! Deterministic text of answers: every engine generates the same tokens for a version and prompt.
//!
//! The first token is `q` and three digits, the answer's true quality in hundredths. A prompt can
//! set its difficulty with a word such as `difficulty=0.3` and the answer length with `tokens=40`.

use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use platform_api::engine::ChatMessage;

/// Default difficulty of a prompt.
const DEFAULT_DIFFICULTY: f64 = 0.3;

/// Minimum length of an answer if the prompt sets none.
const MIN_TOKENS: u32 = 16;

/// Number of different lengths of such answers.
const TOKEN_COUNT_SPREAD: u64 = 32;

/// Maximum length of an answer that a prompt can request.
const MAX_TOKENS: u32 = 100_000;

/// Maximum random deviation of the true quality in either direction.
const QUALITY_SPREAD: f64 = 0.1;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// Hash that is the same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StableHash(u64);

impl StableHash {
    pub(crate) fn new(seed: u64) -> Self {
        Self(FNV_OFFSET ^ seed)
    }

    pub(crate) fn with(self, text: &str) -> Self {
        let end = [0xff];
        let bytes = text.as_bytes().iter().chain(&end);
        Self(bytes.fold(self.0, |h, b| (h ^ u64::from(*b)).wrapping_mul(FNV_PRIME)))
    }

    /// Mixes all bits (the finalizer of SplitMix64).
    pub(crate) fn finish(self) -> u64 {
        let mut z = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a uniformly distributed number from 0 to 1.
    pub(crate) fn unit_interval(self) -> f64 {
        f64::from((self.finish() >> 32) as u32) / f64::from(u32::MAX)
    }
}

/// Properties of a prompt, derived from its messages.
#[derive(Clone, Debug)]
pub(crate) struct Prompt {
    hash: StableHash,
    difficulty: f64,
    requested_tokens: Option<u32>,
    /// Number of tokens, counted as words.
    pub(crate) tokens: u32,
}

impl Prompt {
    pub(crate) fn new(messages: &[ChatMessage]) -> Self {
        let text = |name| {
            messages
                .iter()
                .rev()
                .find_map(|m| find_setting(&m.content, name))
        };
        let hash = messages
            .iter()
            .fold(StableHash::new(0), |h, m| h.with(&m.role).with(&m.content));
        let words: usize = messages
            .iter()
            .map(|m| m.content.split_whitespace().count())
            .sum();
        Self {
            hash,
            difficulty: text("difficulty=")
                .and_then(parse)
                .unwrap_or(DEFAULT_DIFFICULTY),
            requested_tokens: text("tokens=").and_then(parse),
            tokens: u32::try_from(words).unwrap_or(u32::MAX),
        }
    }

    /// Returns the number of tokens of a version's full answer.
    pub(crate) fn answer_tokens(&self, version: &str) -> u32 {
        let spread = self.hash.with(version).finish() % TOKEN_COUNT_SPREAD;
        self.requested_tokens
            .unwrap_or(MIN_TOKENS + spread as u32)
            .clamp(1, MAX_TOKENS)
    }

    /// Returns the true quality of a version's answer, rounded to hundredths as in its text.
    pub(crate) fn quality(&self, version: &str, skill: f64) -> f64 {
        let chance = self.hash.with(version).with("quality").unit_interval();
        let spread = QUALITY_SPREAD * (2.0 * chance - 1.0);
        let quality = 0.6 + skill - self.difficulty + spread;
        (quality.clamp(0.0, 1.0) * 100.0).round() / 100.0
    }

    /// Returns the text of one token.
    pub(crate) fn token(&self, version: &str, quality: f64, index: u32) -> CompactString {
        if index == 0 {
            return format_compact!("q{:03} ", (quality * 100.0).round() as u32);
        }
        let word = self
            .hash
            .with(version)
            .with(&format_compact!("{index}"))
            .finish();
        format_compact!("w{:04x} ", word & 0xffff)
    }
}

/// Parses the true quality encoded in an answer of a fake engine.
pub fn parse_true_quality(answer: &str) -> Option<f64> {
    let digits = answer.split_whitespace().next()?.strip_prefix('q')?;
    let hundredths: u32 = digits.parse().ok()?;
    (digits.len() == 3).then_some(f64::from(hundredths) / 100.0)
}

/// Returns the full text of a version's answer, for tests that check that an answer is complete.
pub fn expected_answer(
    version: &str,
    skill: f64,
    messages: &[ChatMessage],
    max_tokens: Option<u32>,
) -> String {
    let prompt = Prompt::new(messages);
    let quality = prompt.quality(version, skill);
    let tokens = prompt
        .answer_tokens(version)
        .min(max_tokens.unwrap_or(u32::MAX));
    (0..tokens)
        .map(|index| prompt.token(version, quality, index))
        .collect()
}

fn find_setting<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    text.split_whitespace().find_map(|w| w.strip_prefix(name))
}

fn parse<T: FromStr>(text: &str) -> Option<T> {
    text.parse().ok()
}
