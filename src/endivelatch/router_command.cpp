#include "command.hpp"
#include "router_flags.hpp"
#include "router_process.hpp"
#include "setting_reader.hpp"

#include <csignal>
#include <memory>

#include <spdlog/sinks/stdout_sinks.h>

namespace endivelatch {

namespace {

constexpr const char* usage = R"(Runs a router of the fleet.

Usage:
  endivelatch router [options]

Each option may be given as an environment variable instead: --failure-domain as
ENDIVELATCH_FAILURE_DOMAIN. An option overrides its variable. Pass secrets as variables, because
other processes can read the command line.

Options:
  --id=NAME                   Name of this router; must stay the same across restarts.
  --failure-domain=NAME       Failure domain of this VM.
  --region=NAME               Region of this VM.
  --http=IP:PORT              Address for callers and operators.
  --link=IP:PORT              Address for other routers (TCP).
  --gossip=IP:PORT            Address for other routers (UDP).
  --seeds=LIST                Gossip addresses of other routers, separated by commas.
  --platform=LIST             Base URLs of the platform's object API, separated by commas.
  --platform-read-rate=N      Platform reads per second, including watches; 50 if not given.
  --platform-write-rate=N     Platform writes per second; 30 if not given.
  --fleet-key=TEXT            Secret shared by all routers, at least 16 bytes.
  --operator-key-hash=HEX     SHA-256 hash of the operators' key, in hexadecimal.
  --watch-seats=N             Routers per failure domain that watch the platform; 2 if not given.
  --log-level=LEVEL           debug, info, warn or error; info if not given.
  -h --help                   Show this help text.
)";

std::shared_ptr<spdlog::logger> make_logger(const std::string& level)
{
    auto log = std::make_shared<spdlog::logger>("router",
                                                std::make_shared<spdlog::sinks::stdout_sink_st>());
    log->set_pattern("%v");
    log->set_level(spdlog::level::from_str(level == "warn" ? "warning" : level));
    log->flush_on(spdlog::level::info);
    return log;
}

} // namespace

exit_code run_router(const std::vector<std::string>& args)
{
    const auto parsed = parse_arguments(usage, args);
    if (const auto* code = std::get_if<exit_code>(&parsed)) {
        return *code;
    }
    setting_reader settings{std::get<arguments>(parsed), process_environment()};
    const auto flags = read_router_flags(settings);
    if (!has_value(flags)) {
        print_findings(findings_of(flags));
        return exit_code::usage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    router_process process{value_of(flags), make_logger(value_of(flags).log_level)};
    const auto errors = process.start();
    if (!errors.empty()) {
        print_findings(errors);
        return exit_code::failure;
    }
    process.run();
    return exit_code::success;
}

} // namespace endivelatch
