//! Line fitting of `bench slopes`, and the JSON of its result.

use bench::slopes::Slope;

fn fit(points: &[[f64; 2]]) -> Slope {
    Slope::fit("peers/memory", "peers", "KiB", points.to_vec())
}

macro_rules! fits {
    ($($name:ident: $points:expr => ($intercept:expr, $slope:expr, $residual:expr, $r2:expr),)*) => {$(
        #[test]
        fn $name() {
            let line = fit(&$points);
            let found = [line.intercept, line.slope, line.residual, line.r2];
            let expected: [f64; 4] = [$intercept, $slope, $residual, $r2];
            for (found, expected) in found.iter().zip(expected) {
                assert!((found - expected).abs() < 1e-9, "{line:?}");
            }
        }
    )*};
}

fits! {
    exact_line: [[1.0, 5.0], [2.0, 7.0], [4.0, 11.0], [8.0, 19.0]] => (3.0, 2.0, 0.0, 1.0),
    constant: [[1.0, 4.0], [2.0, 4.0], [3.0, 4.0], [4.0, 4.0]] => (4.0, 0.0, 0.0, 1.0),
    scattered: [[0.0, 1.0], [0.0, -1.0], [2.0, 5.0], [2.0, 3.0]] => (0.0, 2.0, 1.0, 0.8),
}

#[test]
fn slope_json_has_points_and_fit() {
    let json =
        serde_json::to_value(fit(&[[1.0, 1.0], [2.0, 2.0], [3.0, 3.0], [4.0, 4.0]])).unwrap();
    let expected = serde_json::json!({
        "name": "peers/memory", "unit_x": "peers", "unit_y": "KiB",
        "points": [[1.0, 1.0], [2.0, 2.0], [3.0, 3.0], [4.0, 4.0]],
        "intercept": 0.0, "slope": 1.0, "residual": 0.0, "r2": 1.0,
    });
    assert_eq!(json, expected);
}
