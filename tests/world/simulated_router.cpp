#include "world/simulated_router.hpp"

#include "coordination/placement/holder_order.hpp"
#include "world/simulated_instance.hpp"

namespace buckthorndale::tests::world {

simulated_router::simulated_router(simulation_context& context, simulated_instance& instance,
                                   state::incarnation incarnation,
                                   coordination::routing::engine_settings settings)
    : context_{context}, instance_{instance}, incarnation_{incarnation}, port_{context, instance, *this},
      engine_{context.clock_,
              context.random_,
              port_,
              {.instance_ = instance.id(), .life_ = incarnation},
              settings},
      replicator_{port_}
{
    replicator_.set_holders({instance.id()});
}

auto simulated_router::submit(const submission& request) -> void
{
    const auto handle = port_.open(request);
    context_.append_trace(instance_.id().text() + " admit " + request.description_.id_.text());
    engine_.arrive(handle, request.description_);
}

auto simulated_router::tick() -> void
{
    engine_.tick();
    replicator_.tick(context_.time_.now());
}

auto simulated_router::poll_agent() -> void
{
    const auto update = instance_.poll_own_agent();
    if (!update)
        return;
    if (update->is_confirmed_)
        engine_.configure(update->configuration_, context_.time_.now());
    if (context_.published_list_.version_ <= list_version_)
        return;
    list_version_ = context_.published_list_.version_;
    auto local = std::vector<state::endpoint>{};
    for (const auto& endpoint : context_.published_list_.endpoints_) {
        if (endpoint.data_centre_ == instance_.data_centre())
            local.push_back(endpoint);
    }
    engine_.update_endpoints(local);
    replicator_.set_holders(coordination::placement::holder_order(instance_.id(), instance_.data_centre(),
                                                                  context_.published_list_.members_));
}

} // namespace buckthorndale::tests::world
