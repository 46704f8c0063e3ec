#ifndef SAMPHIRESAIL_COMPONENTS_METRICS_REGISTRY_HPP
#define SAMPHIRESAIL_COMPONENTS_METRICS_REGISTRY_HPP

#include <map>
#include <memory>
#include <string>

#include "components/metrics/metrics.hpp"
#include "components/settings/socketaddress.hpp"

namespace prometheus {
class Exposer;
class Registry;
}

namespace samphiresail::metrics {

using Labels = std::map<std::string, std::string>;

/// Metrics of one process, served in the Prometheus text format. The same name and labels
/// return the same metric. Thread-safe.
class Registry
{
public:
  Registry();
  ~Registry();

  /// Names begin with `samphiresail_`; counters end in `_total`, durations in `_seconds`.
  Counter AddCounter(const std::string& aName,
                     const std::string& aHelp,
                     const Labels& aLabels = {});
  Gauge AddGauge(const std::string& aName,
                 const std::string& aHelp,
                 const Labels& aLabels = {});
  Histogram AddHistogram(const std::string& aName,
                         const std::string& aHelp,
                         const Labels& aLabels = {});

  /// Serves /metrics on the address; port 0 disables it. Throws std::exception if the
  /// address is in use.
  void Serve(const settings::SocketAddress& aAddress);

  /// Returns the metrics in the text format of /metrics.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  std::unique_ptr<prometheus::Exposer> mExposer;
};

}

#endif
