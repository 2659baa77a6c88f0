#include "state/routing_table.hpp"

namespace buckthorndale::state {

auto routing_table::find_route(std::string_view host, std::string_view path) const -> const route*
{
    const route* found = nullptr;
    for (const auto& candidate : routes_) {
        if (candidate.host_ != host || !path.starts_with(candidate.path_prefix_))
            continue;
        if (found == nullptr || candidate.path_prefix_.size() > found->path_prefix_.size())
            found = &candidate;
    }
    return found;
}

auto routing_table::probe_path(const service_name& service) const -> std::string
{
    const auto found = probe_paths_.find(service);
    return found == probe_paths_.end() ? "/" : found->second;
}

auto routing_table::health_path(const service_name& service) const -> std::string
{
    const auto found = health_paths_.find(service);
    return found == health_paths_.end() ? "/" : found->second;
}

} // namespace buckthorndale::state
