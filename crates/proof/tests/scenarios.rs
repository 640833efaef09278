//! Runs every scenario.

use proof::Directive;
use proof::Scenario;

#[test]
fn scenarios_say_what_their_files_hold() {
    datadriven::walk("scenarios", |file| {
        let mut scenario = Scenario::default();
        file.run(|case| {
            let mut args = Vec::new();
            for (name, values) in &case.args {
                args.push((name.clone(), values.join(" ")));
            }
            let directive = Directive {
                name: &case.directive,
                args: &args,
                input: &case.input,
            };
            // A scenario that cannot be read is a failure whatever its file holds.
            scenario.take(&directive).expect("the scenario can be read")
        });
    });
}
