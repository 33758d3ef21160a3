use super::*;

fn page() -> Page {
    let line = |name: &str, ys: &[f64]| Line {
        name: name.into(),
        points: ys.iter().enumerate().map(|(x, y)| (x as f64, *y)).collect(),
        intervals: Vec::new(),
    };
    let lines = vec![line("a <b>", &[1.0, 2.0, f64::NAN]), line("second", &[3.0, 1.0, 2.0])];
    let chart = |shape| Chart { title: "t & u".into(), shape, lines: lines.clone(), ..Chart::default() };
    Page {
        title: "<script>x</script>".into(),
        charts: vec![chart(Shape::Lines), chart(Shape::Stacked), Chart::default()],
        bands: vec![Band { name: "hang </svg>".into(), span: 0.5..1.5 }],
        ..Page::default()
    }
}

/// Names that contain markup are escaped, and the file references nothing outside itself. Guards against
/// injection from settings files.
#[test]
fn a_page_is_self_contained_and_escaped() {
    let html = page().html().unwrap();
    assert_eq!((html.matches("<svg").count(), html.matches("</svg>").count()), (3, 3));
    for forbidden in ["<script", "a <b>", "src=", "href=", "@import"] {
        assert!(!html.contains(forbidden), "{forbidden}");
    }
    assert!(html.contains("&lt;script&gt;") && !html.contains("NaN"));
}

#[test]
fn the_csv_file_has_every_point_and_band() {
    let mut out = Vec::new();
    page().csv(&mut out).unwrap();
    let text = String::from_utf8(out).unwrap();
    assert_eq!(text.lines().count(), 1 + 12 + 1);
    assert!(text.ends_with("bands,hang </svg>,0.5,1.5\n"), "{text}");
}
