#include "sardinelead/config.h"

#include <utility>

namespace sardinelead {

const char* Name(ResponsePath path) {
  switch (path) {
    case ResponsePath::kDirect:
      return "direct";
    case ResponsePath::kThroughBalancer:
      return "through-balancer";
  }
  return "unknown";
}

const char* Name(OperationKind kind) {
  switch (kind) {
    case OperationKind::kPutWorkspace:
      return "put-workspace";
    case OperationKind::kRemoveWorkspace:
      return "remove-workspace";
    case OperationKind::kPutService:
      return "put-service";
    case OperationKind::kRemoveService:
      return "remove-service";
  }
  return "unknown";
}

std::size_t ServiceAddressHash::operator()(
    const ServiceAddress& address) const {
  return HashCombine(EndpointHash()(address.address),
                     static_cast<std::uint64_t>(address.protocol));
}

Configuration::Configuration(const Configuration& other)
    : version(other.version),
      workspaces(other.workspaces),
      services(other.services),
      next_service_id(other.next_service_id) {
  BuildIndex();
}

Configuration& Configuration::operator=(const Configuration& other) {
  if (this == &other) return *this;
  version = other.version;
  workspaces = other.workspaces;
  services = other.services;
  next_service_id = other.next_service_id;
  BuildIndex();
  return *this;
}

const Service* Configuration::FindByAddress(
    const ServiceAddress& address) const {
  const auto found = m_by_address.find(address);
  return found == m_by_address.end() ? nullptr : found->second;
}

const Service* Configuration::FindById(ServiceId id) const {
  const auto found = m_by_id.find(id.value);
  return found == m_by_id.end() ? nullptr : found->second;
}

void Configuration::BuildIndex() {
  m_by_address.clear();
  m_by_id.clear();
  for (const auto& [key, service] : services) {
    m_by_address[{service.address, service.protocol}] = &service;
    m_by_id[service.id.value] = &service;
  }
}

}  // namespace sardinelead
