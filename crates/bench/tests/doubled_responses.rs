//! A service that writes an earlier response once more on a kept connection.

use std::{
    io::{BufRead, BufReader, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::Incarnation;
use bench::{
    fake::{AnnouncedEndpoint, Announcer},
    process::{Daemon, DaemonSpec, Program, wait_until},
    site::FLEET_KEY,
};

const KEY: &str = "right-key";

/// Paths that ran, in order.
type Runs = Arc<Mutex<Vec<String>>>;

/// Starts a service that refuses `/refused`, runs all else, and writes its previous response on a
/// connection once more before the next one.
fn start_service(runs: &Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let runs = Arc::clone(runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runs = Arc::clone(&runs);
            std::thread::spawn(move || serve(stream, &runs));
        }
    });
    address
}

fn serve(mut stream: TcpStream, runs: &Runs) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut previous = String::new();
    while let Some((path, id)) = read_request(&mut reader) {
        let (status, body) = match path.as_str() {
            "/refused" => ("503 Service Unavailable", "full".to_owned()),
            _ => ("200 OK", format!("done {path}")),
        };
        if path != "/refused" {
            runs.lock().unwrap().push(path);
        }
        let length = body.len();
        let response = format!(
            "HTTP/1.1 {status}\r\nx-request-id: {id}\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        if stream.write_all((previous + &response).as_bytes()).is_err() {
            return;
        }
        previous = response;
    }
}

/// Reads a request without a body; returns its path and id.
fn read_request(reader: &mut impl BufRead) -> Option<(String, String)> {
    let lines = reader.lines().map_while(Result::ok);
    let head: Vec<_> = lines.take_while(|line| !line.is_empty()).collect();
    let path = head.first()?.split(' ').nth(1)?.to_owned();
    let id = head.iter().find_map(|line| line.strip_prefix("x-request-id: "));
    Some((path, id.unwrap_or_default().to_owned()))
}

fn start_daemon() -> Daemon {
    let program =
        Program { path: PathBuf::from(env!("CARGO_BIN_EXE_bench")), args: vec!["daemon".into()] };
    let spec = DaemonSpec::new("host-1", "a")
        .flag("--fleet-key", FLEET_KEY)
        .flag("--organisation-key", format!("school-1={}", base::Digest::of(KEY.as_bytes())));
    let mut daemon = Daemon::start(&program, spec).unwrap();
    daemon.wait_ready(Duration::from_secs(10)).unwrap();
    daemon
}

/// Sends a call and returns the response's status and body.
fn get(daemon: &Daemon, path: &str) -> (u16, String) {
    let url = format!("http://{}/services/rota{path}", daemon.spec().listen);
    let request = attohttpc::get(url).bearer_auth(KEY);
    let id = format!("id-of-{}", path.trim_start_matches('/'));
    let response = request.header("x-request-id", id).send().unwrap();
    (response.status().as_u16(), response.text().unwrap())
}

macro_rules! next_call_never_gets_the_earlier_response {
    ($($name:ident: $earlier:literal => $status:literal,)*) => {$(
        #[test]
        fn $name() {
            let daemon = start_daemon();
            let runs = Runs::default();
            let endpoint = AnnouncedEndpoint {
                id: "rota-1".parse().unwrap(),
                incarnation: Incarnation::new(1),
                data_centre: "a".parse().unwrap(),
                address: start_service(&runs),
            };
            let service = "rota".parse().unwrap();
            let routers = vec![daemon.spec().listen];
            let _announcer = Announcer::service(endpoint, service, routers, FLEET_KEY);
            wait_until("the service is known", Duration::from_secs(10), || {
                get(&daemon, $earlier).0 == $status
            })
            .unwrap();
            assert_eq!(get(&daemon, "/next"), (200, "done /next".to_owned()));
            assert!(runs.lock().unwrap().contains(&"/next".to_owned()));
        }
    )*};
}

next_call_never_gets_the_earlier_response! {
    after_a_refusal: "/refused" => 503,
    after_a_success: "/earlier" => 200,
}
