//! Choice of the route and service for a request.

mod common;

use fuchsiaknot_gateway::configuration::Routes;
use rstest::rstest;

use common::route;

fn routes() -> Routes {
    let routes = [
        route("a.example", "/api/", &[("first", 1)]),
        route("a.example", "/api/v2/", &[("second", 1)]),
        route("b.example", "/", &[("third", 1)]),
    ];
    routes.into_iter().collect()
}

#[rstest]
#[case("a.example", "/api/x", Some("/api/"))]
#[case("a.example", "/api/v2/x", Some("/api/v2/"))]
#[case("a.example", "/api/v2", Some("/api/"))]
#[case("A.Example:8080", "/api/x", Some("/api/"))]
#[case("a.example", "/other", None)]
#[case("a.example", "/api", None)]
#[case("c.example", "/", None)]
fn longest_prefix(#[case] host: &str, #[case] path: &str, #[case] prefix: Option<&str>) {
    let routes = routes();
    assert_eq!(routes.find(host, path).map(|it| it.prefix.as_str()), prefix);
}

#[test]
fn split_weights() {
    let route = route("a.example", "/", &[("many", 9), ("none", 0), ("few", 1)]);
    let services: Vec<&str> =
        (0..100).map(|draw| route.choose_service(draw).unwrap().as_str()).collect();
    let count = |name| services.iter().filter(|it| **it == name).count();
    assert_eq!((count("many"), count("none"), count("few")), (90, 0, 10));
}
