//! Which ranks are refused while records cannot be written.

use fulmarrill_records::RecordLimit;
use rstest::rstest;

#[rstest]
#[case::below_all_limits(400, [false, false, false])]
#[case::lowest_rank(500, [false, false, true])]
#[case::lower_two_ranks(750, [false, true, true])]
#[case::all_ranks(1000, [true, true, true])]
fn lower_ranks_are_refused_before_urgent_ones(#[case] held: usize, #[case] refused: [bool; 3]) {
    let limit = RecordLimit::new(1000);
    for (rank, expected) in refused.into_iter().enumerate() {
        assert_eq!(limit.refuses(held, rank, 3), expected, "rank {rank}");
    }
}

#[test]
fn single_rank_counts_as_the_most_urgent() {
    let limit = RecordLimit::new(1000);
    assert!(!limit.refuses(999, 0, 1));
    assert!(limit.refuses(1000, 0, 1));
}
