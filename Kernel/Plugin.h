// Registries of plug-ins such as roles and policies, filled at program start.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan {

// Plug-ins of one kind by name. `Plugin` is the type that users of that kind
// call.
template <typename Plugin>
class PluginRegistry {
 public:
  // Returns the registry of this kind.
  static PluginRegistry& Instance() {
    static PluginRegistry registry;
    return registry;
  }

  // Adds a plug-in, replacing any of the same name.
  void Register(std::string_view name, Plugin plugin) {
    this->plugins.insert_or_assign(std::string(name), plugin);
  }

  // Returns the plug-in of that name. Fails with kInvalidSetting, listing the
  // known names.
  Result<Plugin> Find(std::string_view name) const {
    const auto found = this->plugins.find(std::string(name));
    if (found == this->plugins.end()) {
      return Fail(ErrorCode::kInvalidSetting, std::string(name),
                  "unknown plug-in; known are: " + this->JoinedNames());
    }
    return found->second;
  }

  // Returns the names of all plug-ins, separated by commas.
  std::string JoinedNames() const {
    std::string names;
    for (const auto& [name, plugin] : this->plugins) {
      names += (names.empty() ? "" : ", ") + name;
    }
    return names;
  }

 private:
  std::map<std::string, Plugin> plugins;
};

// Marks an environment variable that has the prefix of the settings but is set
// by the platform and read by no setting. Registered by its name.
struct ForeignVariable {};

// Registers a plug-in when constructed as a static object.
template <typename Plugin>
struct PluginRegistration {
  PluginRegistration(std::string_view name, Plugin plugin) {
    PluginRegistry<Plugin>::Instance().Register(name, plugin);
  }
};

}  // namespace bramleyspan
