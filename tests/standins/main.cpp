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

/// Returns an option as a number.
std::uint64_t number_argument(const arguments& args, const std::string& name)
{
    return parse_uint(args.at(name).asString());
}

/// Returns an option in milliseconds as a duration.
duration milliseconds_argument(const arguments& args, const std::string& name)
{
    return std::chrono::milliseconds{number_argument(args, name)};
}

/// Returns an `IP:PORT` option as an endpoint.
endpoint endpoint_argument(const arguments& args, const std::string& name)
{
    const std::string text = args.at(name).asString();
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return {text, 0};
    }
    return {text.substr(0, colon), static_cast<std::uint16_t>(parse_uint(text.substr(colon + 1)))};
}

/// Runs the event loop until SIGTERM, SIGINT or the --max-seconds timeout.
int run(event_loop& loop, const arguments& args, const endpoint& listen)
{
    const signal_watcher on_term{loop, SIGTERM, [&] { loop.stop(); }};
    const signal_watcher on_int{loop, SIGINT, [&] { loop.stop(); }};
    timer end{loop, [&] { loop.stop(); }};
    end.start(std::chrono::seconds{number_argument(args, "--max-seconds")});
    std::cout << "ready listen=" << listen.address << ":" << listen.port << std::endl;
    loop.run();
    return 0;
}

/// Starts a stand-in and runs it; returns the exit code.
template <class Standin>
int serve(event_loop& loop, const arguments& args, Standin& standin, const endpoint& listen)
{
    const findings errors = standin.start();
    if (!errors.empty()) {
        std::cerr << to_string(errors) << '\n';
        return 1;
    }
    return run(loop, args, listen);
}

int run_engine(event_loop& loop, const arguments& args, const endpoint& listen)
{
    engine_standin::settings settings;
    settings.listen = listen;
    settings.token_interval = milliseconds_argument(args, "--token-ms");
    settings.cold_delay = milliseconds_argument(args, "--cold-ms");
    settings.warm_delay = milliseconds_argument(args, "--warm-ms");
    settings.load_lag = milliseconds_argument(args, "--load-lag-ms");
    settings.refuse_above = number_argument(args, "--refuse-above");
    settings.checks_fencing_numbers = !args.at("--ignore-fencing").asBool();
    settings.run = number_argument(args, "--run");
    settings.cache.capacity = number_argument(args, "--cache-entries");
    settings.cache.event_lag = milliseconds_argument(args, "--event-lag-ms");
    settings.cache.event_gap = number_argument(args, "--event-gap");
    engine_standin standin{loop, settings};
    return serve(loop, args, standin, listen);
}

int run_service(event_loop& loop, const arguments& args, const endpoint& listen)
{
    service_standin standin{
        loop, {listen, !args.at("--silent-about-runs").asBool(), number_argument(args, "--run")}};
    return serve(loop, args, standin, listen);
}

int run_proxy(event_loop& loop, const arguments& args, const endpoint& listen)
{
    tcp_proxy proxy{loop, listen, endpoint_argument(args, "--to")};
    if (!proxy.is_bound()) {
        std::cerr << "cannot listen at " << listen.address << ":" << listen.port << '\n';
        return 1;
    }
    json_server* control_server = nullptr;
    json_server control{
        loop,
        endpoint_argument(args, "--control"),
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
                 proxy.set_delay(std::chrono::milliseconds{change.value("delay_ms", 0)});
             }
             control_server->respond(request.id, 200, {{"accepted", proxy.accepted()}});
         },
         {},
         {}}};
    control_server = &control;
    return serve(loop, args, control.server, listen);
}

} // namespace

int main(int argc, char** argv)
{
    const arguments args = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    event_loop loop;
    const endpoint listen = endpoint_argument(args, "--listen");
    if (args.at("platform").asBool()) {
        platform_standin standin{loop, listen};
        return serve(loop, args, standin, listen);
    }
    if (args.at("engine").asBool()) {
        return run_engine(loop, args, listen);
    }
    if (args.at("service").asBool()) {
        return run_service(loop, args, listen);
    }
    return run_proxy(loop, args, listen);
}
