use base::TokenCount;

use crate::EndpointKey;

/// Length from which a prompt counts as long: more than engines prefill in one step.
const MIN_LONG_PROMPT_TOKENS: TokenCount = TokenCount::new(2_049);

/// Share of the engines that are preferred for long prompts.
const LONG_PROMPT_ENGINE_SHARE: f64 = 0.6;

/// Cost of a long prompt at an engine that is preferred for short ones, as the tokens whose prefill
/// delays other streams; 400 ms at the default rate.
const LONG_MISPLACED_TOKENS: TokenCount = TokenCount::new(11_200);

/// Cost of a short prompt at an engine that is preferred for long ones, in tokens; 250 ms at the
/// default rate.
const SHORT_MISPLACED_TOKENS: TokenCount = TokenCount::new(7_000);

/// The engines that are preferred for long prompts; short ones prefer the others.
///
/// The prefill of a long prompt delays every stream of its engine, so short prompts are faster on
/// engines without long ones. A pool that is full delays its prompts while the other one has free
/// slots, though, which costs more where engines run few requests at once; there, all engines are
/// one pool ([`LengthPools::Mixed`]).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LengthPools {
    /// Any engine takes prompts of any length.
    #[default]
    Mixed,
    /// These engines are preferred for long prompts, the others for short ones.
    Divided(Vec<EndpointKey>),
}

impl LengthPools {
    /// Divides the engines of each data centre.
    pub fn divide(data_centres: impl IntoIterator<Item = Vec<EndpointKey>>) -> Self {
        let mut for_long = Vec::new();
        for mut engines in data_centres {
            engines.sort_unstable();
            engines.truncate((engines.len() as f64 * LONG_PROMPT_ENGINE_SHARE).round() as usize);
            for_long.append(&mut engines);
        }
        Self::Divided(for_long)
    }

    /// Returns the cost of a prompt at an engine that is preferred for the other kind, as the tokens
    /// whose prefill delays other streams; zero at other engines.
    pub fn misplaced_tokens(&self, engine: EndpointKey, prompt: TokenCount) -> TokenCount {
        let Self::Divided(for_long) = self else { return TokenCount::ZERO };
        match (for_long.contains(&engine), MIN_LONG_PROMPT_TOKENS <= prompt) {
            (true, false) => SHORT_MISPLACED_TOKENS,
            (false, true) => LONG_MISPLACED_TOKENS,
            (true, true) | (false, false) => TokenCount::ZERO,
        }
    }
}
