//! Cells of more than a hundred workers, where members make the owner's calls.

#[path = "common/node.rs"]
mod node;

use node::Cell;

const PLAIN: &str = "/plain/";
/// Enough workers that the owner hands its calls to members.
const WORKERS: usize = 120;

#[tokio::test]
async fn members_make_the_calls_of_a_large_cell() {
    let cell = Cell::start(5, WORKERS).await;
    let owner = cell.owner();
    for id in 0..6 {
        cell.submit_surely(id as usize % 5, PLAIN, id, 30, 100).await;
    }
    for id in 0..6 {
        cell.await_completed(owner, PLAIN, id).await;
    }
    cell.judge(1);
    assert_eq!(cell.platform.start_counts().len(), 180);
    let of_members = |i: &usize| *i != owner && cell.nodes[*i].log().contains("delegate.first");
    let makers = (0..5).filter(of_members).count();
    assert!(makers >= 3, "{makers} members have made calls\n{}", cell.logs());
}

#[tokio::test]
async fn jobs_go_on_when_members_with_calls_under_way_and_the_owner_are_killed() {
    let mut cell = Cell::start(6, WORKERS).await;
    let owner = cell.owner();
    let last = (owner + 3) % 6;
    for id in 0..4 {
        cell.submit_surely(last, PLAIN, id, 40, 1_500).await;
    }
    cell.nodes[(owner + 1) % 6].kill();
    cell.submit_surely(last, PLAIN, 4, 40, 100).await;
    cell.nodes[(owner + 2) % 6].kill();
    cell.nodes[owner].kill();
    cell.submit_surely(last, PLAIN, 5, 40, 100).await;
    for id in 0..6 {
        cell.await_completed(last, PLAIN, id).await;
    }
    cell.judge(1);
}
