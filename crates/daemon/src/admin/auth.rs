use base::Digest;
use rouille::Request;
use subtle::{Choice, ConstantTimeEq as _};

use super::problems::ApiError;

/// Digests of the operators' keys.
pub(super) struct OperatorKeys(Vec<Digest>);

impl OperatorKeys {
    pub(super) fn new(digests: &[Digest]) -> Self {
        Self(digests.to_vec())
    }

    /// Checks that the request carries one of the keys, in a time that doesn't depend on which.
    pub(super) fn check(&self, req: &Request) -> Result<(), ApiError> {
        if self.0.is_empty() {
            return Err(ApiError::no_operator_keys());
        }
        let mut presented =
            req.headers().filter(|(name, _)| name.eq_ignore_ascii_case("authorization"));
        let (Some((_, presented)), None) = (presented.next(), presented.next()) else {
            return Err(ApiError::unauthorised());
        };
        let key = presented.strip_prefix("Bearer ").ok_or_else(ApiError::unauthorised)?;
        let presented = Digest::of(key.as_bytes());
        let matched = self.0.iter().fold(Choice::from(0), |matched, key| {
            matched | key.as_bytes().ct_eq(presented.as_bytes())
        });
        if bool::from(matched) { Ok(()) } else { Err(ApiError::unauthorised()) }
    }
}
