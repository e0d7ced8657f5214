use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, long, positional};

const EXIT_CODES: &str = "Exit codes: 0 done or nothing to do; 1 refused, or another change came \
    first; 2 wrong command line or setting, nothing sent; 3 no router answered, nothing changed; \
    4 answer lost, the change may be in force and the same command is safe to send again; \
    5 diff found a difference. Shell completion: dotterelreach --bpaf-complete-style-bash (or \
    -zsh, -fish, -elvish) prints a script to source. The operator's key is best given as \
    DOTTERELREACH_OPERATOR_KEY.";

/// A parsed command line.
#[derive(Clone, Debug)]
pub(crate) struct Invocation {
    pub(crate) common: CommonOptions,
    pub(crate) action: Action,
}

/// Options of every command, not yet validated.
#[derive(Clone, Debug)]
pub(crate) struct CommonOptions {
    pub(crate) routers: String,
    pub(crate) operator_key: Option<String>,
    pub(crate) timeout: String,
    pub(crate) author: String,
    pub(crate) json: bool,
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    Status,
    Endpoints,
    History,
    DefaultsGet { key: Option<String> },
    DefaultsSet { approval: Approval, key: String, value: String },
    ExceptionsList,
    ExceptionsAdd { exception: ExceptionOptions, approval: Approval, id: String },
    ExceptionsRemove { approval: Approval, id: String },
    Explain { organisation: String, model: String, adapter: Option<String>, input: Input },
    ExplainRoute(RouteOptions),
    Diff { file: PathBuf },
    Apply { approval: Approval, file: PathBuf },
    CallsList,
    CallsShow { organisation: String, key: String },
    CallsResolve { outcome: Outcome, organisation: String, reason: String, key: String },
    VotersList,
    VotersAdd { folder: String, reason: String, host: String },
    VotersRemove { reason: String, host: String },
    Digest,
}

/// Reason for a change, and whether it was confirmed on the command line.
#[derive(Clone, Debug)]
pub(crate) struct Approval {
    pub(crate) reason: String,
    pub(crate) yes: bool,
}

/// Options that describe an exception.
#[derive(Clone, Debug)]
pub(crate) struct ExceptionOptions {
    pub(crate) scope: Vec<String>,
    pub(crate) set: Vec<String>,
    pub(crate) until: Option<String>,
}

/// Options that describe a caller's request.
#[derive(Clone, Debug)]
pub(crate) struct RouteOptions {
    pub(crate) host: String,
    pub(crate) path: String,
    pub(crate) method: String,
    pub(crate) caller: Option<Caller>,
    pub(crate) request: Option<String>,
    pub(crate) model: Option<String>,
    pub(crate) parts: Option<String>,
    pub(crate) tokens: Option<String>,
    pub(crate) body: String,
}

/// Who sends the request to explain.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    Organisation(String),
    /// The holder of the key on standard input.
    KeyFromStdin,
}

/// Text of the request to explain.
#[derive(Clone, Debug)]
pub(crate) enum Input {
    Prompt(String),
    Prefix(String),
}

/// Resolved outcome of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Outcome {
    Ran,
    NotRun,
}

/// Returns the parser of the whole command line.
pub(crate) fn parser() -> OptionParser<Invocation> {
    let status = subcommand(
        "status",
        "Shows a router, its peers and the quorum",
        bpaf::pure(Action::Status),
    );
    let endpoints = subcommand(
        "endpoints",
        "Lists the endpoints that a router has discovered",
        bpaf::pure(Action::Endpoints),
    );
    let history =
        subcommand("history", "Lists the changes of the declaration", bpaf::pure(Action::History));
    let defaults = defaults();
    let exceptions = exceptions();
    let explain = subcommand("explain", "Shows how a request would be routed, and why", explain());
    let explain_route = "Shows where a gateway would send a caller's request now, and why";
    let explain_route = subcommand("explain-route", explain_route, route());
    let diff = subcommand("diff", "Compares a file with the declaration in force", diff());
    let apply = subcommand("apply", "Replaces the whole declaration with a file", apply());
    let calls = calls();
    let voters = voters();
    let digest = "Prints the digest of a key, read as one line from the standard input";
    let digest = subcommand("digest", digest, bpaf::pure(Action::Digest));
    construct!([
        status,
        endpoints,
        defaults,
        exceptions,
        explain,
        explain_route,
        diff,
        apply,
        calls,
        voters,
        history,
        digest
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("Manages a fleet of dotterelreach routers")
    .footer(EXIT_CODES)
}

fn defaults() -> impl Parser<Invocation> {
    let key = positional("KEY").help("Name of the setting, such as wait-weight").optional();
    let get =
        subcommand("get", "Shows one default, or all", construct!(Action::DefaultsGet { key }));
    let approval = approval();
    let key = positional("KEY").help("Name of the setting, such as wait-weight");
    let value = positional("VALUE").help("A TOML value; other text is taken as a string");
    let set = construct!(Action::DefaultsSet { approval, key, value });
    let set = subcommand("set", "Changes one default", set);
    command_group("defaults", "Shows and changes the defaults", construct!([get, set]))
}

fn exceptions() -> impl Parser<Invocation> {
    let list = subcommand("list", "Lists the exceptions", bpaf::pure(Action::ExceptionsList));
    let (exception, approval_add) = (exception(), approval());
    let id = positional("ID").help("Name of the exception");
    let add = construct!(exception, approval_add, id)
        .map(|(exception, approval, id)| Action::ExceptionsAdd { exception, approval, id });
    let add = subcommand("add", "Adds an exception", add);
    let approval = approval();
    let id = positional("ID").help("Name of the exception");
    let remove = construct!(Action::ExceptionsRemove { approval, id });
    let remove = subcommand("remove", "Removes an exception", remove);
    command_group("exceptions", "Shows and changes the exceptions", construct!([list, add, remove]))
}

fn exception() -> impl Parser<ExceptionOptions> {
    let scope = long("scope")
        .help("Traffic that it applies to, such as organisation=north-press; may be repeated")
        .argument("KEY=VALUE")
        .some("an exception needs a --scope");
    let set = long("set")
        .help("Setting that it changes, such as priority=2; may be repeated")
        .argument("KEY=VALUE")
        .some("an exception needs a --set");
    let until = long("until")
        .help("End time, such as 2027-02-01T00:00:00Z; without it, the exception never expires")
        .argument("TIME")
        .optional();
    construct!(ExceptionOptions { scope, set, until })
}

fn explain() -> impl Parser<Action> {
    let organisation = organisation();
    let model = long("model").help("Model that the request names").argument("MODEL");
    let adapter =
        long("adapter").help("Adapter that the request names").argument("ADAPTER").optional();
    let prompt =
        long("prompt").help("The whole prompt").argument::<String>("TEXT").map(Input::Prompt);
    let prefix = long("prefix")
        .help("A prefix that prompts share")
        .argument::<String>("TEXT")
        .map(Input::Prefix);
    let input = construct!([prompt, prefix]);
    construct!(Action::Explain { organisation, model, adapter, input })
}

fn route() -> impl Parser<Action> {
    let host = long("host").help("Host that the request names").argument("HOST");
    let path = long("path").help("Path of the request, with its query").argument("PATH");
    let method = long("method")
        .help("Method of the request")
        .argument("METHOD")
        .fallback("GET".to_owned())
        .display_fallback();
    let named = organisation().map(Caller::Organisation);
    let key = long("key-stdin")
        .help("Reads the caller's API key, one line, from the standard input")
        .req_flag(Caller::KeyFromStdin);
    let caller = construct!([named, key]).optional();
    let request = long("request")
        .help("Request id, which determines the service on a route with several")
        .argument("ID")
        .optional();
    let model = long("model").help("Model that the request names").argument("MODEL").optional();
    let parts = long("parts")
        .help("Parts of the prompt, such as 5c1e07a2:800,e4402b7d:250")
        .argument("ID:TOKENS,...")
        .optional();
    let tokens = long("tokens")
        .help("Token counts that the request states, such as 1050,80")
        .argument("PROMPT,OUTPUT")
        .optional();
    let body = long("body").help("Body of the request").argument("TEXT").fallback(String::new());
    construct!(RouteOptions { host, path, method, caller, request, model, parts, tokens, body })
        .map(Action::ExplainRoute)
}

fn diff() -> impl Parser<Action> {
    let file = file();
    construct!(Action::Diff { file })
}

fn apply() -> impl Parser<Action> {
    let (approval, file) = (approval(), file());
    construct!(Action::Apply { approval, file })
}

fn calls() -> impl Parser<Invocation> {
    let list = bpaf::pure(Action::CallsList);
    let list =
        subcommand("list", "Lists the calls that are open or whose outcome is unknown", list);
    let (organisation_show, key) = (organisation(), positional("KEY").help("Idempotency key"));
    let show = construct!(organisation_show, key)
        .map(|(organisation, key)| Action::CallsShow { organisation, key });
    let show = subcommand("show", "Shows a call that may not be repeated", show);
    let ran = long("ran").help("The call ran").req_flag(Outcome::Ran);
    let not_run =
        long("not-run").help("The call did not run and never will").req_flag(Outcome::NotRun);
    let outcome = construct!([ran, not_run]);
    let (organisation, reason) = (organisation(), reason());
    let key = positional("KEY").help("Idempotency key");
    let resolve = construct!(Action::CallsResolve { outcome, organisation, reason, key });
    let resolve = subcommand("resolve", "Resolves a call whose outcome is unknown", resolve);
    let commands = construct!([list, show, resolve]);
    command_group("calls", "Shows and resolves calls that may not be repeated", commands)
}

fn voters() -> impl Parser<Invocation> {
    let list = subcommand("list", "Lists the voters", bpaf::pure(Action::VotersList));
    let folder = long("folder").help("Identity of the host's data folder").argument("ID");
    let reason_add = reason();
    let host = positional("HOST").help("Host to add");
    let add = construct!(folder, reason_add, host)
        .map(|(folder, reason, host)| Action::VotersAdd { folder, reason, host });
    let add = subcommand("add", "Adds one voter", add);
    let reason = reason();
    let host = positional("HOST").help("Host to remove");
    let remove = construct!(Action::VotersRemove { reason, host });
    let remove = subcommand("remove", "Removes one voter", remove);
    command_group("voters", "Shows and changes the voters", construct!([list, add, remove]))
}

fn subcommand(
    name: &'static str,
    about: &'static str,
    action: impl Parser<Action> + 'static,
) -> impl Parser<Invocation> {
    let common = common();
    construct!(Invocation { common, action }).to_options().descr(about).command(name).help(about)
}

fn command_group(
    name: &'static str,
    about: &'static str,
    commands: impl Parser<Invocation> + 'static,
) -> impl Parser<Invocation> {
    commands.to_options().descr(about).command(name).help(about)
}

fn common() -> impl Parser<CommonOptions> {
    let routers = long("routers")
        .short('r')
        .long("router")
        .env("DOTTERELREACH_ROUTERS")
        .help("Routers' operator addresses, separated by commas, tried in order")
        .argument("ADDRESSES")
        .fallback("127.0.0.1:7400".to_owned())
        .display_fallback();
    // Not read through bpaf's `env`: its help would print the key.
    let operator_key = long("operator-key")
        .help("Operator's key (environment: DOTTERELREACH_OPERATOR_KEY)")
        .argument("KEY")
        .optional();
    let timeout = long("timeout")
        .env("DOTTERELREACH_TIMEOUT")
        .help("Timeout of one request")
        .argument("DURATION")
        .fallback("5s".to_owned())
        .display_fallback();
    let author = long("author")
        .env("DOTTERELREACH_AUTHOR")
        .help("Author of a change")
        .argument("NAME")
        .fallback("operator".to_owned())
        .display_fallback();
    let json = long("json").help("Prints JSON instead of tables").switch();
    construct!(CommonOptions { routers, operator_key, timeout, author, json })
}

fn approval() -> impl Parser<Approval> {
    let reason = reason();
    let yes = long("yes").short('y').help("Makes the change without asking first").switch();
    construct!(Approval { reason, yes })
}

fn reason() -> impl Parser<String> {
    long("reason").help("Reason for the change, recorded with it").argument("TEXT")
}

fn organisation() -> impl Parser<String> {
    long("organisation")
        .short('o')
        .help("Organisation that makes the call")
        .argument("ORGANISATION")
}

fn file() -> impl Parser<PathBuf> {
    positional("FILE").help("A whole declaration in TOML")
}
