use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use super::*;
use crate::server::http::Connection;

const HEADERS: &str = "X-Request-Id: r1\r\nX-Tenant: acme\r\n";

fn settings() -> Settings {
    "grades.count=3\ngrades.0.name=draw_map\ngrades.0.deadline_s=7.5\ngrades.1.name=publish\n\
     grades.1.effect=by_key\ngrades.2.name=tegn_møbel\nparties.count=2\nparties.0.name=other\nparties.1.name=acme"
        .parse()
        .unwrap()
}

/// Sends a message over a connection and parses it. Returns the receive time that was passed to the parser.
async fn parsed(message: &str) -> (Result<ParsedMessage, RequestError>, Instant) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut connection = Connection::connect(listener.local_addr().unwrap()).await.unwrap();
    let mut client = listener.accept().await.unwrap().0;
    client.write_all(message.as_bytes()).await.unwrap();
    let head = connection.request_head().await.unwrap();
    let body = connection.body(&head).await.unwrap();
    let received_at = Instant::now();
    (parse(&head, &body, received_at, &settings()), received_at)
}

async fn parse_request(class: &str, headers: &str) -> (ClientRequest, Instant) {
    let (request, received_at) = parsed(&format!("POST /{class}/a HTTP/1.1\r\n{headers}\r\n")).await;
    match request {
        Ok(ParsedMessage::Request(request)) => (*request, received_at),
        Ok(_) => panic!("not a request"),
        Err(error) => panic!("{error}"),
    }
}

async fn error(headers: &str) -> RequestError {
    parsed(&format!("POST /publish/a HTTP/1.1\r\n{headers}\r\n")).await.0.err().unwrap()
}

#[tokio::test]
async fn each_path_maps_to_its_message() {
    assert!(matches!(parsed("GET /ready HTTP/1.1\r\n\r\n").await.0, Ok(ParsedMessage::Readiness)));
    assert!(matches!(parsed("GET /counters HTTP/1.1\r\n\r\n").await.0, Ok(ParsedMessage::Counters)));
    assert!(matches!(parsed("POST /callback HTTP/1.1\r\n\r\n").await.0, Ok(ParsedMessage::Callback)));
    assert!(matches!(parsed("POST /other HTTP/1.1\r\n\r\n").await.0, Err(RequestError::UnknownPath)));
    assert!(matches!(
        parsed("PUT /ready HTTP/1.1\r\n\r\n").await.0,
        Err(RequestError::MethodNotAllowed("GET"))
    ));
}

#[tokio::test]
async fn request_headers_are_parsed() {
    let (plain, received_at) = parse_request("draw_map", HEADERS).await;
    assert_eq!((plain.class, plain.tenant, plain.payload.name.as_ref()), (0, 1, &b"r1"[..]));
    assert_eq!(plain.payload.target.as_ref(), b"/draw_map/a");
    assert_eq!(plain.deadline, received_at + Duration::from_millis(7500), "deadline of the class");
    assert_eq!((plain.slots, plain.memory, plain.estimated_work_s), (1.0, 0.0, None));
    assert_eq!((plain.payload.key, plain.payload.content_type), (None, None));
    let headers = format!(
        "{HEADERS}X-Deadline-Ms: 480\r\nX-Cost-Hint: 2500\r\nX-Extras: slots=2, memory=3,other=4\r\n\
         Idempotency-Key: k1\r\nContent-Type: text/plain\r\n"
    );
    let (full, received_at) = parse_request("publish", &headers).await;
    assert_eq!(full.class, 1);
    assert_eq!(full.deadline, received_at + Duration::from_millis(480));
    assert_eq!((full.slots, full.memory, full.estimated_work_s), (2.0, 3.0, Some(0.0025)));
    assert_eq!(full.payload.key.as_deref(), Some(&b"k1"[..]));
    assert_eq!(full.payload.content_type.as_deref(), Some(&b"text/plain"[..]));
}

/// A path cannot contain a space, so clients percent-encode it. The target passes on as it came.
#[tokio::test]
async fn class_names_may_be_percent_encoded() {
    for (class, index) in [("draw%20map", 0), ("draw%5Fmap", 0), ("tegn%20m%C3%B8bel", 2)] {
        let (request, _) = parse_request(class, HEADERS).await;
        assert_eq!(request.class, index, "{class}");
        assert_eq!(request.payload.target.as_ref(), format!("/{class}/a").as_bytes());
    }
    for class in ["draw%2", "%FF", "draw%2Fmap"] {
        let (request, _) = parsed(&format!("POST /{class}/a HTTP/1.1\r\n{HEADERS}\r\n")).await;
        assert!(matches!(request, Err(RequestError::UnknownPath)), "{class}");
    }
}

#[tokio::test]
async fn errors_name_the_header() {
    assert_eq!(error("").await, RequestError::MissingHeader("X-Request-Id"));
    assert_eq!(error("X-Request-Id: r1\r\n").await, RequestError::MissingHeader("Idempotency-Key"));
    let keyed = "X-Request-Id: r1\r\nIdempotency-Key: k1\r\n";
    assert_eq!(error(keyed).await, RequestError::MissingHeader("X-Tenant"));
    let tenant = format!("{keyed}X-Tenant: acme\r\n");
    for (header, name) in [
        ("X-Deadline-Ms: soon", "X-Deadline-Ms"),
        ("X-Cost-Hint: -1", "X-Cost-Hint"),
        ("X-Extras: slots=0", "X-Extras"),
        ("X-Tenant: acme", "x-tenant"),
        ("X-Request-Id: r1", "x-request-id"),
        ("Idempotency-Key: k1", "idempotency-key"),
    ] {
        assert_eq!(
            error(&format!("{tenant}{header}\r\n")).await,
            RequestError::InvalidHeader(name),
            "{header}"
        );
    }
}

#[test]
fn deadlines_are_plain_digits_and_limited_to_an_hour() {
    for (text, milliseconds) in
        [("480", Some(480)), (" 480 ", Some(480)), ("99999999999999999999999", Some(3_600_000))]
    {
        assert_eq!(parse_deadline_ms(text), milliseconds, "{text}");
    }
    for text in ["", "+480", "-480", "4.8", "inf"] {
        assert_eq!(parse_deadline_ms(text), None, "{text}");
    }
}
