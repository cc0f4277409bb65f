//! Documents, deltas and plans.

use tarragondoor::check;
use tarragondoor::document;
use tarragondoor::ids;
use tarragondoor::plan;
use tarragondoor::settings;

const SEEDLING: &str = include_str!("../examples/seedling.jsonc");
const DELA_PAZ: &str = include_str!("../examples/dela-paz.jsonc");

fn document_of(text: &str) -> document::Document {
    let (settings, _) = check::parse(text).expect("an example is usable");
    document::Document::new(settings).expect("an example is within the size limit")
}

fn changed_seedling() -> document::Document {
    let mut settings = settings::Settings::clone(document_of(SEEDLING).settings());
    settings.ranks[0].target_ms = 120;
    settings.ranks[2].floor_percent = 5;
    settings.services.remove(0);
    settings.services[0].slots_per_searcher = 6;
    settings.services[1].operations.clear();
    let mut added = settings.services[2].clone();
    added.service = "zinnias".parse().expect("a valid name");
    settings.services.push(added);
    document::Document::new(settings).expect("the document is within the size limit")
}

#[test]
fn plans_match_the_snapshot() {
    let base = document_of(SEEDLING);
    let revision = ids::Revision(41);
    let first = plan::make(None, &base, Vec::new());
    let change = plan::make(Some((revision, base.settings())), &changed_seedling(), Vec::new());
    let nothing = plan::make(Some((revision, base.settings())), &base, Vec::new());
    assert_eq!(nothing.changes, [""; 0]);
    let rendered = serde_json::to_string_pretty(&[first, change]).expect("plans can be serialized");
    insta::assert_snapshot!(rendered);
}

#[test]
fn order_in_the_file_does_not_matter() {
    let mut settings = settings::Settings::clone(document_of(DELA_PAZ).settings());
    settings.services.reverse();
    settings.ranks.reverse();
    assert_eq!(document::Document::new(settings), Ok(document_of(DELA_PAZ)));
}

#[test]
fn documents_round_trip_through_stored_values_and_deltas() {
    let (base, new) = (document_of(SEEDLING), changed_seedling());
    assert_eq!(document::Document::from_value(&new.to_value(), new.hash()), Ok(new.clone()));
    for (from, to) in
        [(&base, &new), (&new, &base), (&base, &base), (&base, &document_of(DELA_PAZ))]
    {
        assert_eq!(document::apply(from, &document::delta(from, to)).as_ref(), Ok(to));
    }
}

#[test]
fn content_with_a_wrong_hash_or_base_is_rejected() {
    let (base, new) = (document_of(SEEDLING), changed_seedling());
    let wrong = document::DocumentError::WrongHash { expected: new.hash(), found: base.hash() };
    assert_eq!(document::Document::from_bytes(base.bytes(), new.hash()), Err(wrong));
    let malformed = Err(document::DocumentError::Malformed);
    assert_eq!(document::Document::from_value("0g", base.hash()), malformed);
    assert_eq!(document::Document::from_value("", base.hash()), malformed);
    let mut delta = document::delta(&base, &new);
    let base_error =
        document::DocumentError::WrongBase { expected: base.hash(), found: new.hash() };
    assert_eq!(document::apply(&new, &delta), Err(base_error));
    delta.removed.clear();
    let outcome = document::apply(&base, &delta);
    assert!(matches!(outcome, Err(document::DocumentError::WrongHash { .. })), "{outcome:?}");
}

#[test]
fn plan_ids_are_canonical() {
    let id = plan::PlanId { base: ids::Revision(7), document: document_of(SEEDLING).hash() };
    assert_eq!(id.to_string().parse(), Ok(id));
    let text = id.to_string();
    for bad in [
        format!("0{text}"),
        text.to_uppercase(),
        text.replace('-', ""),
        format!("{text}0"),
        "-".into(),
    ] {
        assert_eq!(bad.parse::<plan::PlanId>(), Err(plan::ParsePlanIdError), "{bad}");
    }
}

#[test]
fn corrupted_bytes_are_never_accepted() {
    fn property(at: usize, byte: u8, cut: usize) -> bool {
        let document = changed_seedling();
        let mut bytes = document.bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        bytes.truncate(bytes.len() - cut % 3);
        match document::Document::from_bytes(&bytes, document.hash()) {
            Ok(found) => found == document,
            Err(_) => bytes != document.bytes(),
        }
    }
    quickcheck::quickcheck(property as fn(usize, u8, usize) -> bool);
}
