#include "apps/samphiresail/operator/keycommands.hpp"

#include <iostream>
#include <memory>
#include <string>

#include <CLI/CLI.hpp>

#include "apps/samphiresail/operator/configurationsession.hpp"
#include "components/catalogue/configurationchanges.hpp"
#include "components/credentials/key.hpp"

namespace samphiresail::operators {

namespace {

ExitStatus Issue(const std::string& aAccount,
                 const std::string& aName,
                 const OperatorOptions& aOptions)
{
  const ids::ClientAccountId account(aAccount);
  const std::string key = credentials::GenerateKey();
  const std::string name = aName.empty() ? credentials::GenerateKeyName(account) : aName;
  const auto print = [&](const catalogue::Configuration&) {
    std::cout << "name: " << name << "\nkey: " << key
              << "\nThe key is shown this once and stored as a digest only.\n";
  };
  const ExitStatus status = ConfigurationSession(aOptions).Run(
    catalogue::IssueKey({ credentials::HashKey(key), account, name }), print);
  if (status == MayBeWritten) {
    std::cerr << "withdraw the key '" << name << "' before issuing another\n";
  }
  return status;
}

ExitStatus Withdraw(const std::string& aName, const OperatorOptions& aOptions)
{
  return ConfigurationSession(aOptions).Run(catalogue::WithdrawKey(aName),
                                            [](const catalogue::Configuration&) {});
}

ExitStatus List(const OperatorOptions& aOptions)
{
  const auto configuration = ConfigurationSession(aOptions).Read();
  if (!configuration) {
    std::cerr << "the store does not answer\n";
    return StoreUnreachable;
  }
  for (const catalogue::IssuedKey& key : configuration->mKeys) {
    std::cout << key.mName << ' ' << key.mAccount.Str() << '\n';
  }
  return Success;
}

}

void AddKeyCommands(CLI::App& aApp, int& aStatus)
{
  const auto account = std::make_shared<std::string>();
  const auto name = std::make_shared<std::string>();
  CLI::App* keys = aApp.add_subcommand("keys", "Issue and withdraw keys");
  keys->require_subcommand(1);

  CLI::App* issue = keys->add_subcommand("issue", "Issue a key to a client account");
  issue->add_option("--account", *account, "Client account")->required();
  issue->add_option("--name", *name, "Public name of the key; drawn if not given");
  issue->callback([=, &aStatus, options = AddOperatorOptions(*issue)] {
    aStatus = Issue(*account, *name, *options);
  });

  CLI::App* withdraw = keys->add_subcommand("withdraw", "Withdraw a key by its name");
  withdraw->add_option("name", *name, "Public name of the key")->required();
  withdraw->callback([=, &aStatus, options = AddOperatorOptions(*withdraw)] {
    aStatus = Withdraw(*name, *options);
  });

  CLI::App* list = keys->add_subcommand("list", "List issued keys by name");
  list->callback(
    [=, &aStatus, options = AddOperatorOptions(*list)] { aStatus = List(*options); });
}

}
