#include "apps/samphiresail/operator/curvekeyscommand.hpp"

#include <iostream>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/exitstatus.hpp"
#include "components/transport/curve.hpp"

namespace samphiresail::operators {

void AddCurveKeysCommand(CLI::App& aApp, int& aStatus)
{
  CLI::App* command = aApp.add_subcommand(
    "curve-keys", "Draw a key pair for the connections between processes");
  command->callback([&aStatus] {
    const settings::CurveSettings keys = transport::MakeCurveKeys();
    // Single quotes: the Z85 alphabet has '#', ':' and braces but no quote.
    std::cout << "curve:\n  public_key: '" << keys.mPublicKey << "'\n  secret_key: '"
              << keys.mSecretKey << "'\n";
    aStatus = Success;
  });
}

}
