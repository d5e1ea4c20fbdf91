// The registry into which roles and policies put themselves at start.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Kernel/Result.h"

namespace bramleyspan {

// Plug-ins of one kind by name. `Plugin` is what the kind's users call.
template <typename Plugin>
class PluginRegistry {
 public:
  // The registry of this kind.
  static PluginRegistry& Instance() {
    static PluginRegistry registry;
    return registry;
  }

  void Register(std::string_view name, Plugin plugin) {
    this->plugins.insert_or_assign(std::string(name), plugin);
  }

  // Finds a plug-in. Fails with kInvalidSetting that lists those known.
  Result<Plugin> Find(std::string_view name) const {
    const auto found = this->plugins.find(std::string(name));
    if (found == this->plugins.end()) {
      return Fail(ErrorCode::kInvalidSetting, std::string(name),
                  "unknown plug-in; known are: " + this->JoinedNames());
    }
    return found->second;
  }

  // The names of all plug-ins, separated by commas.
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

// An environment variable with our prefix that a platform sets and no setting
// of ours reads; registered by its name.
struct ForeignVariable {};

// Registers a plug-in while the program starts.
template <typename Plugin>
struct PluginRegistration {
  PluginRegistration(std::string_view name, Plugin plugin) {
    PluginRegistry<Plugin>::Instance().Register(name, plugin);
  }
};

}  // namespace bramleyspan
