#ifndef SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CONFIGURATIONSESSION_HPP
#define SAMPHIRESAIL_APPS_SAMPHIRESAIL_OPERATOR_CONFIGURATIONSESSION_HPP

#include <functional>
#include <optional>

#include "apps/samphiresail/operator/exitstatus.hpp"
#include "apps/samphiresail/operator/operatoroptions.hpp"
#include "components/catalogue/configurationeditor.hpp"
#include "components/store/etcdstore.hpp"

namespace samphiresail::operators {

/// One command's work on the configuration record: reading, changing, and waiting until
/// the change is accepted. Reports to standard output and error.
class ConfigurationSession
{
public:
  using Editor = catalogue::ConfigurationEditor<store::EtcdStore>;

  explicit ConfigurationSession(const OperatorOptions& aOptions);

  /// Returns the configuration in force; nothing if the store does not answer.
  std::optional<catalogue::Configuration> Read();

  /// Applies the change and waits for its acceptance. aWritten is called between the two
  /// with the configuration that is in force then.
  ExitStatus Run(const Editor::Change& aChange,
                 const std::function<void(const catalogue::Configuration&)>& aWritten);

private:
  ExitStatus Report(const catalogue::EditResult& aResult);
  ExitStatus ReportAcceptance(units::Version aVersion);

  OperatorOptions mOptions;
  store::EtcdStore mStore;
  Editor mEditor;
};

}

#endif
