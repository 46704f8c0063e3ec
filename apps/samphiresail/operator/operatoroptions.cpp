#include "apps/samphiresail/operator/operatoroptions.hpp"

#include <CLI/CLI.hpp>

namespace samphiresail::operators {

std::shared_ptr<OperatorOptions> AddOperatorOptions(CLI::App& aCommand)
{
  auto options = std::make_shared<OperatorOptions>();
  aCommand
    .add_option(
      "--store", options->mStoreUrl, "Base URL of the platform's key-value service")
    ->required()
    ->envname("SAMPHIRESAIL_STORE");
  aCommand
    .add_option("--store-timeout-ms",
                options->mStoreTimeoutMs,
                "Longest wait for one answer of the store")
    ->check(CLI::Range(10, 60000));
  aCommand
    .add_option("--accept-timeout-ms",
                options->mAcceptTimeoutMs,
                "Longest wait for a change to be accepted")
    ->check(CLI::Range(0, 600000));
  aCommand
    .add_option("--curve-public-key",
                options->mCurve.mPublicKey,
                "CURVE public key of the deployment")
    ->envname("SAMPHIRESAIL_CURVE_PUBLIC_KEY");
  aCommand
    .add_option("--curve-secret-key",
                options->mCurve.mSecretKey,
                "CURVE secret key of the deployment; better given by the environment")
    ->envname("SAMPHIRESAIL_CURVE_SECRET_KEY");
  return options;
}

}
