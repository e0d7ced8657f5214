use std::{borrow::Cow, collections::BTreeMap, rc::Rc};

use base::EndpointId;
use fleet::Scope;
use wire::operator::{ExplainRequest, Explanation, PromptPart, RouteExplanation, RouteQuery};

use super::{Edge, policies::RoutingPreferences, router::EngineRequirements};

/// Why a [`RouteQuery`] has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum RouteQueryError {
    /// A field of the query is malformed.
    Malformed(String),
    /// This router has no routes.
    NoRoutes,
}

/// A query of the admin interface to the thread that serves callers.
pub(crate) enum AdminQuery {
    /// How a request would be routed.
    Explain {
        /// The request.
        request: ExplainRequest,
        /// Takes the explanation, `None` if no endpoint serves the request.
        reply: flume::Sender<Option<Explanation>>,
    },
    /// How a caller's request would be routed through the gateway's routes.
    ExplainRoute {
        /// The request.
        request: RouteQuery,
        /// Takes the explanation.
        reply: flume::Sender<Result<RouteExplanation, RouteQueryError>>,
    },
    /// The requests in flight.
    Load {
        /// Takes the counts.
        reply: flume::Sender<Load>,
    },
}

/// Counts of the requests in flight at this router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    /// Requests from callers.
    pub requests: u64,
    /// Requests sent to each endpoint.
    pub endpoints: BTreeMap<EndpointId, u32>,
}

/// Answers queries until the channel is closed.
pub(super) async fn handle_all(edge: Rc<Edge>, queries: flume::Receiver<AdminQuery>) {
    while let Ok(query) = queries.recv_async().await {
        match query {
            AdminQuery::Explain { request, reply } => {
                let _ = reply.try_send(explain(&edge, &request));
            }
            AdminQuery::ExplainRoute { reply, .. } => {
                let _ = reply.try_send(Err(RouteQueryError::NoRoutes));
            }
            AdminQuery::Load { reply } => {
                let endpoints = edge.router.borrow().in_flight();
                let _ = reply.try_send(Load { requests: edge.active.borrow().len(), endpoints });
            }
        }
    }
}

fn explain(edge: &Edge, request: &ExplainRequest) -> Option<Explanation> {
    let (PromptPart::Prompt(text) | PromptPart::Prefix(text)) = &request.input;
    let prompt = [Cow::Borrowed(text.as_bytes())];
    let scope = Scope {
        organisation: Some(request.organisation.clone()),
        model: Some(request.model.clone()),
        ..Scope::default()
    };
    let settings = edge.settings(&scope);
    let requirements = EngineRequirements {
        organisation: &request.organisation,
        model: &request.model,
        adapter: request.adapter.as_ref(),
        weights: None,
        prompt: &prompt,
        preferences: RoutingPreferences::from(&settings),
    };
    edge.router.borrow_mut().explain(edge.clock.now(), &requirements)
}
