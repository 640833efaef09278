//! Reads and writes of the document while the platform is subject to faults.

mod script;

use insta::assert_snapshot;

use crate::script::run;

#[tokio::test]
async fn reads_and_watches() {
    assert_snapshot!(run(r"
        ann read
        ann glance 0
        ann write 0 1 one
        ann read
        bob watch 0
        bob glance 1
        bob write 1 2 two
        ann watch 1
        ann history
    ").await, @r#"
    ann read -> nothing
    ann glance 0 -> nothing
    ann write 0 1 one -> made 1
    ann read -> 1 "one" by ann (1)
    bob watch 0 -> 1 "one" by ann (1)
    bob glance 1 -> nothing
    bob write 1 2 two -> made 2
    ann watch 1 -> 2 "two" by bob (2)
    ann history -> 2 "two" by bob (2), 1 "one" by ann (1)
    "#);
}

#[tokio::test]
async fn conflicting_write_reports_the_winner() {
    assert_snapshot!(run(r"
        ann write 0 1 one
        ann write 1 2 anns
        bob write 1 3 bobs
        bob settle
        ann settle
        bob write 0 4 first
        platform counts
    ").await, @r#"
    ann write 0 1 one -> made 1
    ann write 1 2 anns -> made 2
    bob write 1 3 bobs -> another write came first: version 2 by ann
    bob settle -> lost to 2 "anns" by ann (2)
    ann settle -> took effect as 2
    bob write 0 4 first -> another write came first: version 2 by ann
    platform counts -> 4 writes, 2 taken, 0 lost
    "#);
}

#[tokio::test]
async fn write_with_a_lost_response_is_resolved() {
    assert_snapshot!(run(r#"
        ann write 0 1 one
        platform {"lose_answers": 1}
        ann write 1 2 two
        ann settle
        ann again
        platform counts
        platform {"lose_answers": 1}
        ann write 2 3 three
        bob write 3 4 four
        ann settle
        ann again
        ann history
    "#).await, @r#"
    ann write 0 1 one -> made 1
    platform {"lose_answers": 1} -> done
    ann write 1 2 two -> in doubt
    ann settle -> took effect as 2
    ann again -> made 2
    platform counts -> 3 writes, 2 taken, 1 lost
    platform {"lose_answers": 1} -> done
    ann write 2 3 three -> in doubt
    bob write 3 4 four -> made 4
    ann settle -> took effect as 3
    ann again -> made 3
    ann history -> 4 "four" by bob (4), 3 "three" by ann (3), 2 "two" by ann (2), 1 "one" by ann (1)
    "#);
}

#[tokio::test]
async fn delayed_write_is_undecided_until_the_revision_exists() {
    assert_snapshot!(run(r#"
        ann write 0 1 one
        platform {"hold": 2}
        ann begin 1 2 late
        platform sees 2
        platform {"hold": 2, "down": true}
        ann end
        platform {"hold": 2}
        ann settle
        platform {}
        platform reaches 2
        ann settle
        platform {"hold": 3}
        ann begin 2 3 later
        platform sees 3
        bob write 2 4 sooner
        platform {"hold": 3, "down": true}
        ann end
        platform {}
        ann settle
        ann again
        ann history
    "#).await, @r#"
    ann write 0 1 one -> made 1
    platform {"hold": 2} -> done
    ann begin 1 2 late -> begun
    platform sees 2 -> yes
    platform {"hold": 2, "down": true} -> done
    ann end -> in doubt
    platform {"hold": 2} -> done
    ann settle -> open
    platform {} -> done
    platform reaches 2 -> yes
    ann settle -> took effect as 2
    platform {"hold": 3} -> done
    ann begin 2 3 later -> begun
    platform sees 3 -> yes
    bob write 2 4 sooner -> made 3
    platform {"hold": 3, "down": true} -> done
    ann end -> in doubt
    platform {} -> done
    ann settle -> lost to 3 "sooner" by bob (4)
    ann again -> another write came first: version 3 by bob
    ann history -> 3 "sooner" by bob (4), 2 "late" by ann (2), 1 "one" by ann (1)
    "#);
}

#[tokio::test]
async fn refused_write_is_not_applied() {
    assert_snapshot!(run(r#"
        platform {"unavailable": true}
        ann write 0 1 one
        ann read
        platform {"down": true}
        ann again
        ann read
        platform {}
        ann settle
        ann again
        platform counts
    "#).await, @r#"
    platform {"unavailable": true} -> done
    ann write 0 1 one -> unavailable
    ann read -> unavailable
    platform {"down": true} -> done
    ann again -> unavailable
    ann read -> unavailable
    platform {} -> done
    ann settle -> open
    ann again -> made 1
    platform counts -> 2 writes, 1 taken, 0 lost
    "#);
}

#[tokio::test]
async fn stalled_platform_leaves_a_write_in_doubt() {
    assert_snapshot!(run(r#"
        platform {"stalled": true}
        hasty write 0 1 one
        hasty read
        hasty glance 0
        platform {}
        ann read
    "#).await, @r#"
    platform {"stalled": true} -> done
    hasty write 0 1 one -> in doubt
    hasty read -> unavailable
    hasty glance 0 -> unavailable
    platform {} -> done
    ann read -> nothing
    "#);
}

#[tokio::test]
async fn slow_response_within_the_timeout_is_accepted() {
    assert_snapshot!(run(r#"
        platform {"slow": 60}
        ann write 0 1 one
        ann read
        hasty read
    "#).await, @r#"
    platform {"slow": 60} -> done
    ann write 0 1 one -> made 1
    ann read -> 1 "one" by ann (1)
    hasty read -> unavailable
    "#);
}

#[tokio::test]
async fn response_of_a_lagging_replica_is_marked_stale() {
    assert_snapshot!(run(r#"
        ann write 0 1 one
        ann write 1 2 two
        ann read
        platform {"behind": 1}
        ann read
        ann watch 0
        bob read
        ann glance 1
        ann settle
        platform {}
        bob read
        ann settle
    "#).await, @r#"
    ann write 0 1 one -> made 1
    ann write 1 2 two -> made 2
    ann read -> 2 "two" by ann (2)
    platform {"behind": 1} -> done
    ann read -> 1 "one" by ann (1), stale
    ann watch 0 -> 1 "one" by ann (1), stale
    bob read -> 1 "one" by ann (1)
    ann glance 1 -> nothing
    ann settle -> open
    platform {} -> done
    bob read -> 2 "two" by ann (2)
    ann settle -> took effect as 2
    "#);
}
