#include "apps/samphiresail/operator/configurationsession.hpp"

#include <iostream>
#include <thread>

#include "apps/samphiresail/operator/acceptance.hpp"
#include "components/catalogue/configurationchanges.hpp"
#include "components/credentials/key.hpp"

namespace samphiresail::operators {

namespace {

constexpr int kEditAttempts = 10;

}

ConfigurationSession::ConfigurationSession(const OperatorOptions& aOptions)
  : mOptions(aOptions)
  , mStore(aOptions.mStoreUrl)
  , mEditor(mStore,
            { .mTimeout = aOptions.StoreTimeout(), .mAttempts = kEditAttempts },
            [](std::chrono::milliseconds aWait) { std::this_thread::sleep_for(aWait); })
{
}

std::optional<catalogue::Configuration> ConfigurationSession::Read()
{
  return mEditor.Read();
}

ExitStatus ConfigurationSession::Run(
  const Editor::Change& aChange,
  const std::function<void(const catalogue::Configuration&)>& aWritten)
{
  try {
    const std::string editId = credentials::GenerateToken();
    const catalogue::EditResult result = mEditor.Edit(editId, aChange);
    const ExitStatus status = Report(result);
    if (status != Success) {
      return status;
    }
    aWritten(result.mConfiguration);
    return ReportAcceptance(result.mConfiguration.mVersion);
  } catch (const catalogue::ConflictError& error) {
    std::cerr << "conflict: " << error.what() << "; nothing was applied\n";
    for (const std::string& line : error.Changes()) {
      std::cerr << "  " << line << '\n';
    }
    return Conflict;
  } catch (const catalogue::UnknownNameError& error) {
    std::cerr << error.what() << '\n';
    return UnknownName;
  }
}

ExitStatus ConfigurationSession::Report(const catalogue::EditResult& aResult)
{
  const std::uint64_t version = aResult.mConfiguration.mVersion.Count();
  switch (aResult.mOutcome) {
    case catalogue::EditOutcome::Unchanged:
      std::cout << "nothing to change at version " << version << '\n';
      return Success;
    case catalogue::EditOutcome::Written:
      std::cout << "written as version " << version << '\n';
      return Success;
    case catalogue::EditOutcome::Contended:
      std::cerr << "conflict: other operators kept writing; nothing was written\n";
      return Conflict;
    case catalogue::EditOutcome::StoreUnavailable:
      std::cerr << "the store does not answer; nothing was written\n";
      return StoreUnreachable;
    case catalogue::EditOutcome::OutcomeUnknown:
      std::cerr << "the store stopped answering; the change may have been written\n";
      return MayBeWritten;
  }
  return Failure;
}

ExitStatus ConfigurationSession::ReportAcceptance(units::Version aVersion)
{
  const AcceptanceResult result = AwaitAcceptance(
    mStore, mOptions.mCurve, aVersion, mOptions.StoreTimeout(), mOptions.AcceptTimeout());
  if (result.mNoEntries) {
    std::cout << "no entry is registered; entries read it when they start\n";
    return Success;
  }
  std::ostream& out = result.mAccepted ? std::cout : std::cerr;
  out << (result.mAccepted ? "accepted: " : "written, not yet accepted: ")
      << result.mLast.mHolding << " of " << result.mLast.mElectors
      << " members of the roster hold version " << aVersion.Count() << " after "
      << result.mElapsed.count() << " ms\n";
  return result.mAccepted ? Success : WrittenNotAccepted;
}

}
