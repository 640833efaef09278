//! Instances that start together, before any of them is on the platform's list.

use standin::platform::Behaviour;
use units::Millis;

use crate::fleet::Fleet;
use crate::fleet::wait_until;

#[tokio::test]
async fn instances_that_start_together_connect_although_the_list_lags() {
    let mut fleet = Fleet::new().await;
    fleet.put_document(1);
    let lagging = Behaviour {
        list_lag: Millis(3_000),
        ..Behaviour::default()
    };
    fleet.platform.behave(lagging).await;
    // Each instance is alone in its zone, so no watcher finds the others in the list of its own zone.
    for (name, zone) in [("one", "zone-a"), ("two", "zone-b"), ("three", "zone-c")] {
        let mut settings = fleet.settings(name, "a");
        settings.zone = zone.parse().unwrap();
        fleet.instances.push(jayquayd::start(&settings, None).await.unwrap());
    }
    for handle in &fleet.instances {
        wait_until(async || handle.status().await.is_some_and(|status| status.members.len() == 3)).await;
    }
}
