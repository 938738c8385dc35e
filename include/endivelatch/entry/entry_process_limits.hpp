#pragma once

#include "endivelatch/entry/entry_process.hpp"

/// Members of entry_process for the limits of memory and connections.

namespace endivelatch {

template <entry_protocol Protocol>
void entry_process<Protocol>::set_up_limits()
{
    caller_server_.set_budget(budget_, memory_use::requests, memory_use::answers);
    for (auto* server : {&readiness_server_, &entry_server_, &peer_server_, &metrics_server_}) {
        server->set_budget(budget_, memory_use::services, memory_use::services);
    }
    target_pool_.limit_reads(target_read_size);
    connection_shares shares;
    if (settings_.descriptor_limit > 0) {
        shares = share_descriptors(settings_.descriptor_limit);
    }
    const auto bound = [](request_server& server, const request_limits& sizes,
                          std::size_t connections) {
        auto limits = server.limits();
        limits.sizes = sizes;
        limits.max_connections = connections;
        server.set_limits(limits);
    };
    bound(caller_server_, caller_server_.limits().sizes, shares.callers);
    bound(readiness_server_, service_sizes, shares.readiness);
    bound(entry_server_, service_sizes, shares.entries);
    bound(peer_server_, service_sizes, shares.peers);
    bound(metrics_server_, service_sizes, shares.metrics);
    target_pool_.set_max_connections(shares.targets);
    share_memory_of_vm(caller_server_.limits().sizes.body);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::share_memory_of_vm(std::size_t body_limit)
{
    if (settings_.memory_limit == 0) {
        return;
    }
    shares_ = share_memory(settings_.memory_limit, body_limit);
    budget_.set_shares(shares_);
    router_.set_settings(settings_for_traffic());
}

template <entry_protocol Protocol>
void entry_process<Protocol>::report_limits()
{
    auto& metrics = router_.metrics();
    const auto held = [&](const char* labels, memory_use use) {
        metrics.set("memory_held", static_cast<std::int64_t>(budget_.held(use)), labels);
    };
    held("use=\"requests\"", memory_use::requests);
    held("use=\"answers\"", memory_use::answers);
    held("use=\"services\"", memory_use::services);
    report_refusals("callers", caller_server_);
    report_refusals("readiness", readiness_server_);
    report_refusals("entries", entry_server_);
    report_refusals("peers", peer_server_);
    report_refusals("metrics", metrics_server_);
}

template <entry_protocol Protocol>
void entry_process<Protocol>::report_refusals(std::string_view address,
                                              const request_server& server)
{
    auto& reported = reported_refusals_[address];
    for (std::size_t n = 0; n < connection_refusals; ++n) {
        const auto reason = static_cast<connection_refusal>(n);
        const auto count = server.refused(reason) - reported[n];
        if (count == 0) {
            continue;
        }
        reported[n] = server.refused(reason);
        router_.metrics().add("connections_refused", count,
                              "address=\"" + std::string{address} + "\",reason=\"" +
                                  std::string{to_string(reason)} + '"');
        write(log_event{"connections_refused"}
                  .add("address", address)
                  .add("reason", to_string(reason))
                  .add("count", count));
    }
}

} // namespace endivelatch
