#include "apps/load/capacity/capacitycommand.hpp"

#include <cstdio>
#include <memory>

#include <CLI/CLI.hpp>

#include "apps/load/capacity/corefleet.hpp"

namespace samphiresail::load {

namespace {

struct CapacityLine
{
  int mSettle{ 30 };
  int mSeconds{ 20 };
  /// Also runs the sizes planned for, which takes longer.
  bool mFull{ false };
  /// Runs this size alone if it has entries.
  FleetSize mOnly{ .mEntries = 0 };
};

void Print(const FleetSize& aSize, const CapacityLine& aLine)
{
  CoreFleet fleet(aSize);
  const auto figures = fleet.Measure(std::chrono::seconds(aLine.mSettle),
                                     std::chrono::seconds(aLine.mSeconds));
  std::printf(
    "%7zu %6zu %6zu %5zu %8.0f | %6.3f %6.3f | %7.1f %7.1f | %8.0f %8.0f | %6.1f "
    "%6.2f | %8zu %6.2f %8.0f\n",
    aSize.mEntries,
    aSize.mAgents,
    aSize.mModels,
    aSize.mZones,
    aSize.mRequests,
    100.0 * figures.mMeanCpu,
    100.0 * figures.mMostCpu,
    figures.mMeanMessages,
    figures.mMostMessages,
    figures.mMeanBytes,
    figures.mMostBytes,
    figures.mStoreReads,
    figures.mStoreWrites,
    figures.mConfigurationBytes,
    figures.mChangeSeconds,
    figures.mLongestCallUs);
}

void Run(const CapacityLine& aLine)
{
  std::printf(
    "entries agents models zones requests | cpu %% mean most | messages/s mean most "
    "| bytes/s mean most | store reads/s writes/s | configuration bytes, seconds "
    "to adopt a change, longest call us\n");
  if (aLine.mOnly.mEntries > 0) {
    Print(aLine.mOnly, aLine);
    return;
  }
  constexpr FleetSize kBase{ .mEntries = 10, .mAgents = 60, .mModels = 100 };
  for (const std::size_t entries : { 3U, 10U, 30U, 60U }) {
    FleetSize size = kBase;
    size.mEntries = entries;
    Print(size, aLine);
  }
  for (const std::size_t agents : { 15U, 200U, 600U }) {
    FleetSize size = kBase;
    size.mAgents = agents;
    Print(size, aLine);
  }
  for (const std::size_t models : { 25U, 540U }) {
    FleetSize size = kBase;
    size.mModels = models;
    Print(size, aLine);
  }
  for (const double requests : { 60.0, 240.0, 960.0 }) {
    FleetSize size = kBase;
    size.mRequests = requests;
    Print(size, aLine);
  }
  if (aLine.mFull) {
    for (const double requests : { 0.0, 2200.0 }) {
      Print({ .mEntries = 360,
              .mAgents = 600,
              .mModels = 540,
              .mZones = 5,
              .mAccounts = 20,
              .mRequests = requests },
            aLine);
    }
  }
}

}

void AddCapacityCommand(CLI::App& aApp)
{
  auto* command =
    aApp.add_subcommand("capacity", "Measures the control cores at several sizes");
  const auto line = std::make_shared<CapacityLine>();
  command->add_option("--settle", line->mSettle, "Seconds before each measurement");
  command->add_option("--seconds", line->mSeconds, "Seconds of each measurement");
  command->add_option("--entries", line->mOnly.mEntries, "Only this number of entries");
  command->add_option("--agents", line->mOnly.mAgents, "Agents beside it");
  command->add_option("--models", line->mOnly.mModels, "Models beside it");
  command->add_option("--zones", line->mOnly.mZones, "Availability zones beside it");
  command->add_option("--requests", line->mOnly.mRequests, "Requests per second");
  command->add_flag("--full", line->mFull, "Also the size planned for");
  command->callback([line] { Run(*line); });
}

}
