use std::{borrow::Cow, collections::BTreeMap, rc::Rc};

use base::EndpointId;
use fleet::Scope;
use wire::operator::{ExplainRequest, Explanation, PromptPart};

use super::{Edge, policies::RoutingPreferences, router::EngineRequirements};

/// A question of an operator.
pub(crate) enum AdminQuery {
    /// Where a request would go.
    Explain {
        /// The request.
        request: ExplainRequest,
        /// Takes the response; none if no endpoint serves the request.
        reply: flume::Sender<Option<Explanation>>,
    },
    /// What is under way.
    Load {
        /// Takes the response.
        reply: flume::Sender<Load>,
    },
}

/// What is under way at this router.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Load {
    /// Requests of callers.
    pub requests: u64,
    /// Requests sent to each endpoint.
    pub endpoints: BTreeMap<EndpointId, u32>,
}

/// Answers operators until no more can ask.
pub(super) async fn handle_all(edge: Rc<Edge>, admin_queries: flume::Receiver<AdminQuery>) {
    while let Ok(query) = admin_queries.recv_async().await {
        match query {
            AdminQuery::Explain { request, reply } => {
                let _ = reply.try_send(explain(&edge, &request));
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
