//! HTTP client of the machine list against the emulator.

use flaxward_backends::http_client::Timeouts;
use flaxward_backends::{MachineList, MachinesHttp};
use flaxward_emulator::{MachineListConfig, Platform, PlatformConfig, ZoneConfig};
use flaxward_types::engine::MachineRole;
use flaxward_types::{ServiceName, ZoneName};

#[tokio::test]
async fn machines_are_added_leave_and_are_removed_permanently() {
    let zone = ZoneName::literal("north");
    let service = ServiceName::literal("field-api");
    let mut platform = Platform::start(PlatformConfig {
        zones: vec![ZoneConfig {
            name: zone.clone(),
            engines: 2,
            services: [(service.clone(), 1)].into(),
        }],
        ..PlatformConfig::default()
    })
    .await
    .expect("ports are free");
    let url = platform.machines.url();
    let list = MachinesHttp::new(&url, Timeouts::default()).expect("the HTTP library is set up");

    let machines = list.machines().await.expect("the machine list responds");
    assert_eq!(machines, platform.machines.current());
    assert_eq!(machines.len(), 3);
    let mut engines = machines.iter().filter(|m| m.role == MachineRole::Engine);
    let engine = engines.next_back().expect("there are engines").clone();
    let services = machines.iter().map(|machine| &machine.role);
    assert!(
        services
            .clone()
            .any(|role| *role == MachineRole::Service(service.clone()))
    );

    platform.machines.leave(&engine.name);
    let machines = list.machines().await.expect("the machine list responds");
    let leaving = machines.iter().filter(|machine| machine.leaving);
    let leaving: Vec<_> = leaving.map(|machine| machine.name.clone()).collect();
    assert_eq!(leaving, vec![engine.name.clone()]);

    platform.reclaim(&engine.name).await;
    let machines = list.machines().await.expect("the machine list responds");
    assert!(machines.iter().all(|machine| machine.name != engine.name));
    assert!(
        platform.machines.put(engine.clone()).is_err(),
        "a machine name is never reused"
    );
    let added = platform.add_engine(&zone).await.expect("a port is free");
    assert_ne!(added, engine.name);

    platform.machines.update_faults(|faults| faults.down = true);
    assert!(list.machines().await.is_err());
    platform.shutdown().await;
    assert!(list.machines().await.is_err());
}

/// A platform of one zone with two engines.
async fn small_platform(machines: MachineListConfig) -> Platform {
    Platform::start(PlatformConfig {
        zones: vec![ZoneConfig {
            name: ZoneName::literal("north"),
            engines: 2,
            services: [].into(),
        }],
        machines,
        ..PlatformConfig::default()
    })
    .await
    .expect("ports are free")
}

fn machine_list_client(platform: &Platform) -> MachinesHttp {
    let url = platform.machines.url();
    MachinesHttp::new(&url, Timeouts::default()).expect("the HTTP library is set up")
}

#[tokio::test]
async fn an_unchanged_list_is_sent_once_and_every_change_is_seen() {
    let platform = small_platform(MachineListConfig::default()).await;
    let list = machine_list_client(&platform);
    for _ in 0..3 {
        let machines = list.machines().await.expect("the machine list responds");
        assert_eq!(machines, platform.machines.current());
    }
    assert_eq!(platform.machines.lists_sent(), 1);

    let leaving = platform.machines.current()[0].name.clone();
    platform.machines.leave(&leaving);
    let machines = list.machines().await.expect("the machine list responds");
    assert!(machines[0].leaving, "the next read returns the change");
    assert_eq!(platform.machines.lists_sent(), 2);

    platform.machines.update_faults(|faults| faults.down = true);
    assert!(
        list.machines().await.is_err(),
        "the cached list must not hide an outage"
    );
    platform
        .machines
        .update_faults(|faults| faults.down = false);
    platform.machines.remove(&leaving);
    let machines = list.machines().await.expect("the machine list responds");
    assert_eq!(machines, platform.machines.current());
    assert_eq!(machines.len(), 1);
    assert_eq!(platform.machines.lists_sent(), 3);
    platform.shutdown().await;
}

#[tokio::test]
async fn a_platform_without_entity_tags_sends_the_list_every_time() {
    let platform = small_platform(MachineListConfig {
        entity_tags: false,
        ..MachineListConfig::default()
    })
    .await;
    let list = machine_list_client(&platform);
    for _ in 0..3 {
        let machines = list.machines().await.expect("the machine list responds");
        assert_eq!(machines, platform.machines.current());
    }
    assert_eq!(platform.machines.lists_sent(), 3);
    platform.shutdown().await;
}
