#pragma once

#include "endivelatch/base/result.hpp"
#include "endivelatch/entry/entry_settings.hpp"
#include "endivelatch/http1/request_reader.hpp"
#include "endivelatch/http1/response_reader.hpp"
#include "endivelatch/mirror/object_mirror.hpp"
#include "endivelatch/traffic/traffic_event.hpp"

#include <concepts>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Interface to the protocol that an entry router speaks with callers, targets and the platform.
namespace endivelatch {

/// Kinds of objects in the platform's store that an entry router reads.
enum class object_kind {
    configuration, ///< A single object: the traffic configuration.
    targets,       ///< One object per registered target.
    evacuations,   ///< One object per evacuated failure domain, written by the operator.
    routers,       ///< One object per entry router, written by that router.
};

/// Returns the name used in logs and in paths between routers, such as `targets`.
std::string_view to_string(object_kind kind);

/// An HTTP call to the platform's store.
struct store_call {
    std::string method;
    std::string target; ///< Path and query.
    std::string body;
};

/// A caller's query for entry addresses.
struct entry_query {
    std::string host;
    domain_id domain;
};

/// Encodes and decodes the names, formats and calls of a protocol. Contains no routing logic.
template <class P>
concept entry_protocol = requires(request_head head, response_head answer, std::string text,
                                  const caller_request& request,
                                  const attempt_parameters& parameters,
                                  const refuse_request& refusal, const entry_settings& settings,
                                  const mirrored_object& object, const object_page& page,
                                  const object_changes& changes, const list_objects& list,
                                  const http_headers& headers,
                                  const std::vector<endpoint>& addresses, duration time)
{
    // clang-format off
    { P::read_settings(text) } -> std::same_as<result<entry_settings>>;
    { P::read_request(std::move(head), std::move(text)) } -> std::same_as<result<caller_request>>;
    { P::write_request_head(request, parameters) } -> std::same_as<std::string>;
    { P::read_answer(std::move(answer)) } -> std::same_as<target_answer>;
    { P::refusal_headers(refusal) } -> std::same_as<http_headers>;
    { P::is_readiness_query(text) } -> std::same_as<bool>;
    { P::read_entry_query(text) } -> std::same_as<std::optional<entry_query>>;
    { P::write_entry_list(addresses, time) } -> std::same_as<std::string>;
    { P::list_call(object_kind{}, list) } -> std::same_as<store_call>;
    { P::watch_call(object_kind{}, store_revision{}, time) } -> std::same_as<store_call>;
    { P::read_store_era(headers) } -> std::same_as<store_era>;
    { P::register_router_call(settings) } -> std::same_as<store_call>;
    { P::forget_router_call(settings) } -> std::same_as<store_call>;
    { P::read_page(text) } -> std::same_as<result<object_page>>;
    { P::read_changes(text) } -> std::same_as<result<object_changes>>;
    { P::write_page(page) } -> std::same_as<std::string>;
    { P::write_changes(changes) } -> std::same_as<std::string>;
    { P::read_configuration(object) } -> std::same_as<result<traffic_configuration>>;
    { P::read_target(object) } -> std::same_as<result<registered_target>>;
    { P::read_evacuation(object) } -> std::same_as<domain_id>;
    { P::read_router(object) } -> std::same_as<result<endpoint>>;
    // clang-format on
};

} // namespace endivelatch
