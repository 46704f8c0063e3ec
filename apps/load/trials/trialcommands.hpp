#ifndef SAMPHIRESAIL_APPS_LOAD_TRIALS_TRIALCOMMANDS_HPP
#define SAMPHIRESAIL_APPS_LOAD_TRIALS_TRIALCOMMANDS_HPP

namespace CLI {
class App;
}

namespace samphiresail::load {

/// Adds the subcommand that runs decision cores with an injected clock, each policy
/// beside its baselines with the same seed.
void AddTrialCommands(CLI::App& aApp);

}

#endif
