//===- registry.h - Services that find each other by name -------*- C++ -*-===//
//
// The micro-kernel: each module's setup file registers its services here and
// resolves by name what their constructors need.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_KERNEL_REGISTRY_H
#define GERANIUMBAY_FRAMEWORK_KERNEL_REGISTRY_H

#include <any>
#include <cassert>
#include <map>
#include <memory>
#include <string>

namespace geraniumbay {

/// Services by name. A service is registered once, under its interface type.
class Registry {
public:
  /// Registers \p Service as an \p InterfaceT under \p Name.
  template <typename InterfaceT>
  void add(const std::string &Name, std::shared_ptr<InterfaceT> Service) {
    [[maybe_unused]] bool Fresh =
        Services_.emplace(Name, std::any(std::move(Service))).second;
    assert(Fresh && "two services of one name");
  }

  /// Registers \p Service, which its owner keeps longer than the registry.
  template <typename InterfaceT>
  void addOwned(const std::string &Name, InterfaceT &Service) {
    add<InterfaceT>(
        Name, std::shared_ptr<InterfaceT>(std::shared_ptr<void>(), &Service));
  }

  /// Returns the service \p Name, or null if there is none of that type.
  template <typename InterfaceT>
  std::shared_ptr<InterfaceT> find(const std::string &Name) const {
    auto Found = Services_.find(Name);
    if (Found == Services_.end())
      return nullptr;
    const auto *Service =
        std::any_cast<std::shared_ptr<InterfaceT>>(&Found->second);
    return Service ? *Service : nullptr;
  }

  /// Returns the service \p Name, which a module set up earlier registered.
  template <typename InterfaceT>
  InterfaceT &get(const std::string &Name) const {
    auto Service = find<InterfaceT>(Name);
    assert(Service && "no service of that name and type");
    return *Service;
  }

private:
  std::map<std::string, std::any> Services_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_KERNEL_REGISTRY_H
