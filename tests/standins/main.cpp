#include "engine_standin.hpp"
#include "platform_standin.hpp"
#include "service_standin.hpp"
#include "tcp_proxy.hpp"

#include "endivelatch/net/signal_watcher.hpp"

#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

namespace {

using namespace endivelatch;
using namespace endivelatch::standins;

using arguments = std::map<std::string, docopt::value>;

constexpr char usage[] = R"(Stand-ins for the platform and the targets, for tests and demos.

Usage:
  standins platform --listen=ADDRESS [--max-seconds=N]
  standins engine --listen=ADDRESS [--token-ms=N] [--cold-ms=N] [--warm-ms=N] [--load-lag-ms=N]
                  [--cache-entries=N] [--event-lag-ms=N] [--event-gap=N] [--refuse-above=N]
                  [--ignore-fencing] [--run=N] [--max-seconds=N]
  standins service --listen=ADDRESS [--silent-about-runs] [--run=N] [--max-seconds=N]
  standins proxy --listen=ADDRESS --to=ADDRESS --control=ADDRESS [--max-seconds=N]
  standins --help

Options:
  --listen=ADDRESS     IP:PORT to serve; port 0 takes any.
  --to=ADDRESS         IP:PORT to forward to.
  --control=ADDRESS    IP:PORT for POST /control of the proxy.
  --token-ms=N         Time between tokens [default: 5].
  --cold-ms=N          Time before the first token without a cached prefix [default: 50].
  --warm-ms=N          Time before the first token with a cached prefix [default: 5].
  --load-lag-ms=N      Age of reported load [default: 500].
  --cache-entries=N    Prefixes that the cache holds [default: 64].
  --event-lag-ms=N     Age at which cache events show [default: 500].
  --event-gap=N        Leave out every Nth cache event; 0 none [default: 0].
  --refuse-above=N     Refuse calls above so many in flight; 0 never [default: 0].
  --ignore-fencing     Accept orders with old fencing numbers.
  --silent-about-runs  Do not say whether a booking has run.
  --run=N              Incarnation [default: 1].
  --max-seconds=N      Exit after this time [default: 600].
)";

/// Returns the number given to an option.
std::uint64_t number_of(const arguments& given, const std::string& name)
{
    return to_number(given.at(name).asString());
}

/// Returns the time given to an option in milliseconds.
duration milliseconds_of(const arguments& given, const std::string& name)
{
    return std::chrono::milliseconds{number_of(given, name)};
}

/// Returns the endpoint given to an option.
endpoint endpoint_of(const arguments& given, const std::string& name)
{
    const std::string text = given.at(name).asString();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 0};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(to_number(text.substr(colon + 1)))};
}

/// Runs until a signal or the longest run time.
int run(event_loop& loop, const arguments& given, const endpoint& where)
{
    const signal_watcher on_term{loop, SIGTERM, [&] { loop.stop(); }};
    const signal_watcher on_int{loop, SIGINT, [&] { loop.stop(); }};
    timer end{loop, [&] { loop.stop(); }};
    end.start(std::chrono::seconds{number_of(given, "--max-seconds")});
    std::cout << "ready listen=" << where.address << ":" << where.port << std::endl;
    loop.run();
    return 0;
}

/// Starts a stand-in and runs it.
template <class Standin>
int serve(event_loop& loop, const arguments& given, Standin& standin, const endpoint& where)
{
    const findings found = standin.start();
    if (!found.empty()) {
        std::cerr << to_string(found) << '\n';
        return 1;
    }
    return run(loop, given, where);
}

int run_engine(event_loop& loop, const arguments& given, const endpoint& where)
{
    engine_standin::settings settings;
    settings.listen = where;
    settings.token_time = milliseconds_of(given, "--token-ms");
    settings.cold_time = milliseconds_of(given, "--cold-ms");
    settings.warm_time = milliseconds_of(given, "--warm-ms");
    settings.load_lag = milliseconds_of(given, "--load-lag-ms");
    settings.refuse_above = number_of(given, "--refuse-above");
    settings.checks_fencing = !given.at("--ignore-fencing").asBool();
    settings.run = number_of(given, "--run");
    settings.cache.capacity = number_of(given, "--cache-entries");
    settings.cache.event_lag = milliseconds_of(given, "--event-lag-ms");
    settings.cache.event_gap = number_of(given, "--event-gap");
    engine_standin standin{loop, settings};
    return serve(loop, given, standin, where);
}

int run_service(event_loop& loop, const arguments& given, const endpoint& where)
{
    service_standin standin{
        loop, {where, !given.at("--silent-about-runs").asBool(), number_of(given, "--run")}};
    return serve(loop, given, standin, where);
}

int run_proxy(event_loop& loop, const arguments& given, const endpoint& where)
{
    tcp_proxy proxy{loop, where, endpoint_of(given, "--to")};
    if (!proxy.is_bound()) {
        std::cerr << "cannot listen at " << where.address << ":" << where.port << '\n';
        return 1;
    }
    json_server* answers = nullptr;
    json_server control{loop,
                        endpoint_of(given, "--control"),
                        {[&](http_request&& request) {
                             const json change = parse_json(request.body);
                             if (change.value("silence_open", false)) {
                                 proxy.stall_open_connections();
                             }
                             if (change.value("cut_open", false)) {
                                 proxy.close_open_connections();
                             }
                             if (change.contains("silence_new")) {
                                 proxy.stall_new_connections(change.value("silence_new", false));
                             }
                             if (change.contains("delay_ms")) {
                                 proxy.set_delay(
                                     std::chrono::milliseconds{change.value("delay_ms", 0)});
                             }
                             answers->respond(request.id, 200, {{"accepted", proxy.accepted()}});
                         },
                         {},
                         {}}};
    answers = &control;
    return serve(loop, given, control.server, where);
}

} // namespace

int main(int argc, char** argv)
{
    const arguments given = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    event_loop loop;
    const endpoint where = endpoint_of(given, "--listen");
    if (given.at("platform").asBool()) {
        platform_standin standin{loop, where};
        return serve(loop, given, standin, where);
    }
    if (given.at("engine").asBool()) {
        return run_engine(loop, given, where);
    }
    if (given.at("service").asBool()) {
        return run_service(loop, given, where);
    }
    return run_proxy(loop, given, where);
}
