#include "fleet.hpp"

#include <chrono>
#include <cstdlib>
#include <gtest/gtest.h>
#include <unistd.h>

namespace endivelatch::failures {

namespace {

using nlohmann::json;

constexpr const char* operator_key = "test-operator-key";
constexpr const char* operator_key_hash =
    "0ff86987c8ca08303de41f67acd9dda633b6ac174e05534d0d365f8299ae30fc";
constexpr int platform_offset = 0;
constexpr int service_offset = 50;
constexpr int engine_offset = 40;
constexpr int http_offset = 10;
constexpr int link_offset = 20;
constexpr int gossip_offset = 30;
constexpr int first_port = 20'000;
constexpr int ports_per_fleet = 100;
constexpr int port_range_count = 80;
constexpr duration startup_timeout = std::chrono::seconds{60};

int next_port_base()
{
    static int started = 0;
    ++started;
    return first_port + (static_cast<int>(getpid()) + started) % port_range_count * ports_per_fleet;
}

} // namespace

fleet::fleet() : port_base_{next_port_base()}
{
    std::string pattern = testing::TempDir() + "endivelatch-XXXXXX";
    dir_ = mkdtemp(pattern.data());
    start_standin("platform", {"platform", "--listen=" + address(platform_offset)});
    start_standin("service", {"service", "--listen=" + address(service_offset)});
    for (int n = 1; n <= 3; ++n) {
        start_standin("engine" + std::to_string(n),
                      {"engine", "--listen=" + address(engine_offset + n), "--token-ms=20"});
    }
    for (int n = 1; n <= 3; ++n) {
        start_router(n);
    }
}

std::string fleet::address(int offset) const
{
    return "127.0.0.1:" + std::to_string(port_base_ + offset);
}

void fleet::start_standin(const std::string& name, const std::vector<std::string>& args)
{
    std::vector<std::string> command{STANDINS_PROGRAM};
    command.insert(command.end(), args.begin(), args.end());
    command.emplace_back("--max-seconds=200");
    standins_[name] = std::make_unique<child_process>(command, dir_ + "/" + name + ".log");
}

void fleet::start_router(int n)
{
    std::string seeds;
    for (int it = 1; it <= 3; ++it) {
        seeds += (it > 1 ? "," : "") + address(gossip_offset + it);
    }
    const auto name = "r" + std::to_string(n);
    routers[n] = std::make_unique<child_process>(
        std::vector<std::string>{
            ENDIVELATCH_PROGRAM, "router", "--id=" + name, "--failure-domain=d" + std::to_string(n),
            "--region=east", "--http=" + address(http_offset + n),
            "--link=" + address(link_offset + n), "--gossip=" + address(gossip_offset + n),
            "--seeds=" + seeds, "--platform=http://" + address(platform_offset),
            "--fleet-key=test-fleet-key-0123456789",
            "--operator-key-hash=" + std::string{operator_key_hash}},
        dir_ + "/" + name + ".log");
}

std::string fleet::router_url(int n) const
{
    return "http://" + address(http_offset + n);
}

std::string fleet::engine_url(int n) const
{
    return "http://" + address(engine_offset + n);
}

bool fleet::wait_until_ready()
{
    const auto healthy = [&](int n) {
        return http.send_and_wait({"GET", router_url(n) + "/health", {}, {}});
    };
    for (int n = 1; n <= 3; ++n) {
        const bool up = http.run_until([&] { return healthy(n).status == 200; }, startup_timeout);
        if (!up) {
            return false;
        }
    }
    create_configuration();
    return http.run_until(
        [&] {
            const auto r = http.send_and_wait(chat_request(1, 1, "warm-up"));
            const auto b = http.send_and_wait(booking_request(2, new_idempotency_key(), "{}"));
            return r.status == 200 && b.status == 200;
        },
        startup_timeout);
}

void fleet::create_configuration()
{
    for (int n = 1; n <= 3; ++n) {
        send_admin_request(1, "PUT", "targets/engine-" + std::to_string(n),
                           {{"pool", "pedals"},
                            {"domain", "d" + std::to_string(n)},
                            {"region", "east"},
                            {"kind", "engine"},
                            {"url", "http://" + address(engine_offset + n)}});
    }
    send_admin_request(1, "PUT", "targets/parts-1",
                       {{"pool", "parts"},
                        {"domain", "d1"},
                        {"region", "east"},
                        {"kind", "service"},
                        {"url", "http://" + address(service_offset)},
                        {"idempotent_calls", false}});
    send_admin_request(1, "PUT", "models/m",
                       {{"pool", "pedals"}, {"versions", {"1"}}, {"adapters", json::array()}});
    send_admin_request(1, "PUT", "organisations/o",
                       {{"models", {"m"}}, {"services", {"parts"}}, {"weight", 1}});
    const auto created_key = json::parse(
        send_admin_request(1, "POST", "organisations/o/keys", nullptr).body, nullptr, false);
    api_key_ = created_key.is_object() ? created_key.value("key", "") : "";
}

test_response fleet::send_admin_request(int router, const std::string& method,
                                        const std::string& path, const json& document)
{
    return http.send_and_wait({method,
                               router_url(router) + "/admin/v1/" + path,
                               {{"authorization", std::string{"Bearer "} + operator_key},
                                {"content-type", "application/json"}},
                               document.is_null() ? "" : document.dump()});
}

std::map<std::string, std::string> fleet::default_headers() const
{
    return {{"authorization", "Bearer " + api_key_}, {"content-type", "application/json"}};
}

test_request fleet::chat_request(int router, int tokens, const std::string& chat_id) const
{
    test_request request{
        "POST", router_url(router) + "/v1/chat/completions", default_headers(), {}};
    request.headers["x-endivelatch-chat"] = chat_id;
    request.body = json{{"model", "m"},
                        {"stream", true},
                        {"max_tokens", tokens},
                        {"messages", {{{"role", "user"}, {"content", chat_id}}}}}
                       .dump();
    return request;
}

test_request fleet::booking_request(int router, const std::string& key,
                                    const std::string& body) const
{
    test_request request{"POST", router_url(router) + "/v1/services/parts/bookings",
                         default_headers(), body};
    request.headers["idempotency-key"] = key;
    return request;
}

std::string fleet::new_idempotency_key()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(now).count();
    return std::to_string(seconds) + "-k" + std::to_string(++last_key_number_);
}

json fleet::status(int router)
{
    return json::parse(send_admin_request(router, "GET", "status", nullptr).body, nullptr, false);
}

std::map<std::string, int> fleet::booking_runs()
{
    const auto record = json::parse(
        http.send_and_wait({"GET", "http://" + address(service_offset) + "/record", {}, {}}).body);
    return record.at("bookings").get<std::map<std::string, int>>();
}

json fleet::engine_record(int n)
{
    return json::parse(
        http.send_and_wait({"GET", "http://" + address(engine_offset + n) + "/record", {}, {}})
            .body);
}

void fleet::control_platform(const json& control)
{
    http.send_and_wait(
        {"POST", "http://" + address(platform_offset) + "/control", {}, control.dump()});
}

void fleet::control_service(const json& control)
{
    http.send_and_wait(
        {"POST", "http://" + address(service_offset) + "/control", {}, control.dump()});
}

} // namespace endivelatch::failures
