//! Cells with more than a hundred workers, where members make calls on behalf of the owner.

#[path = "common/node.rs"]
mod node;

use node::Cell;

const PLAIN: &str = "/plain/";
/// Enough workers for the owner to delegate its calls to members.
const WORKERS: usize = 120;

#[tokio::test]
async fn members_make_the_calls_of_a_large_cell() {
    let cell = Cell::start(5, WORKERS).await;
    let owner = cell.owner();
    for id in 0..6 {
        cell.submit_until_accepted(id as usize % 5, PLAIN, id, 30, 100).await;
    }
    for id in 0..6 {
        cell.wait_until_completed(owner, PLAIN, id).await;
    }
    cell.assert_starts(1);
    assert_eq!(cell.platform.start_counts().len(), 180);
    let is_calling_member =
        |i: &usize| *i != owner && cell.nodes[*i].log().contains("delegate.first");
    let caller_count = (0..5).filter(is_calling_member).count();
    assert!(caller_count >= 3, "{caller_count} members have made calls\n{}", cell.logs());
}

#[tokio::test]
async fn jobs_continue_after_members_with_open_calls_and_the_owner_are_killed() {
    let mut cell = Cell::start(6, WORKERS).await;
    let owner = cell.owner();
    let last = (owner + 3) % 6;
    for id in 0..4 {
        cell.submit_until_accepted(last, PLAIN, id, 40, 1_500).await;
    }
    cell.nodes[(owner + 1) % 6].kill();
    cell.submit_until_accepted(last, PLAIN, 4, 40, 100).await;
    cell.nodes[(owner + 2) % 6].kill();
    cell.nodes[owner].kill();
    cell.submit_until_accepted(last, PLAIN, 5, 40, 100).await;
    for id in 0..6 {
        cell.wait_until_completed(last, PLAIN, id).await;
    }
    cell.assert_starts(1);
}
