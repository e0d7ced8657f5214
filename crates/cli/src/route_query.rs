//! The query for the route of a caller's request, from the command line.

use std::sync::Arc;

use base::ParseError;
use wire::operator::{QueriedCaller, QueriedPart, QueriedTokens, RouteQuery};

use crate::{
    Error,
    command::{parse_argument, read_key},
    options::{Caller, RouteOptions},
};

/// Parses the options; reads the key from standard input if they say so.
///
/// # Errors
///
/// Returns an error if an option is malformed, or the key can't be read.
pub(crate) fn parse(options: RouteOptions) -> Result<RouteQuery, Error> {
    let request = options.request.map(|id| parse_argument("--request", &id)).transpose()?;
    let model = options.model.map(|model| parse_argument("--model", &model)).transpose()?;
    let parts = options.parts.as_deref().map_or(Ok(Vec::new()), parse_parts)?;
    let tokens = options.tokens.as_deref().map(parse_tokens).transpose()?;
    let caller = match options.caller {
        None => QueriedCaller::Anonymous,
        Some(Caller::Organisation(name)) => QueriedCaller::Organisation(name.into()),
        Some(Caller::KeyFromStdin) => QueriedCaller::Key(read_key()?.into()),
    };
    Ok(RouteQuery {
        host: options.host.into(),
        path: options.path.into(),
        method: options.method.into(),
        caller,
        request,
        model,
        parts,
        tokens,
        body: options.body.into(),
    })
}

fn parse_parts(text: &str) -> Result<Vec<QueriedPart>, Error> {
    let parse = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        let is_id = (1..=16).contains(&id.len()) && id.bytes().all(|c| c.is_ascii_hexdigit());
        let id: Arc<str> = is_id.then_some(id)?.into();
        Some(QueriedPart { id, tokens: tokens.parse().ok()? })
    };
    let invalid = |part| ParseError::new("part", part, "ID:TOKENS with a hexadecimal id");
    let parts = text.split(',');
    let parts = parts
        .map(|part| parse(part).ok_or_else(|| Error::usage(format!("--parts: {}", invalid(part)))));
    parts.collect()
}

fn parse_tokens(text: &str) -> Result<QueriedTokens, Error> {
    let parse = || {
        let (prompt, output) = text.split_once(',')?;
        let (prompt, output) = (prompt.trim().parse().ok()?, output.trim().parse().ok()?);
        Some(QueriedTokens { prompt, output })
    };
    let invalid = || ParseError::new("pair of token counts", text, "PROMPT,OUTPUT");
    parse().ok_or_else(|| Error::usage(format!("--tokens: {}", invalid())))
}
