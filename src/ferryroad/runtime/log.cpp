#include "ferryroad/runtime/log.hpp"

#include "ferryroad/runtime/boot_clock.hpp"
#include "ferryroad/runtime/bounded_output.hpp"
#include "ferryroad/runtime/cancellation.hpp"

#include <boost/system/system_error.hpp>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <chrono>
#include <memory>
#include <unistd.h>
#include <vector>

namespace ferryroad::runtime {

namespace appenders {

// log4cxx's macros use its names unqualified.
using namespace log4cxx;  // NOLINT(google-build-using-namespace)

/// log4cxx appender that writes to a `bounded_output`. AppenderSkeleton serializes the appends.
class bounded_appender final : public log4cxx::AppenderSkeleton {
  public:
    DECLARE_LOG4CXX_OBJECT(bounded_appender)
    BEGIN_LOG4CXX_CAST_MAP()
    LOG4CXX_CAST_ENTRY(bounded_appender)
    LOG4CXX_CAST_ENTRY_CHAIN(AppenderSkeleton)
    END_LOG4CXX_CAST_MAP()

    bounded_appender() : bounded_appender(std::make_shared<log4cxx::JSONLayout>(), STDERR_FILENO) {}
    bounded_appender(const log4cxx::LayoutPtr& used_layout, int descriptor)
        : AppenderSkeleton(used_layout),
          m_layout(used_layout),
          m_output(descriptor, line_budget_settings{}, std::size_t{64} * 1024) {}

    void append(const log4cxx::spi::LoggingEventPtr& event, log4cxx::helpers::Pool& pool) override {
        log4cxx::LogString formatted;
        m_layout->format(formatted, event, pool);
        LOG4CXX_ENCODE_CHAR(text, formatted);
        const bool is_warning = event->getLevel()->toInt() >= log4cxx::Level::WARN_INT;
        const base::duration since_boot = boot_clock::now().time_since_epoch();
        m_output.write(text, is_warning, base::monotonic_time(since_boot));
    }
    void close() override { m_output.flush(); }
    bool requiresLayout() const override { return true; }

  private:
    log4cxx::LayoutPtr m_layout;
    bounded_output m_output;
};

IMPLEMENT_LOG4CXX_OBJECT(bounded_appender)

}  // namespace appenders

namespace {

std::string& process_name_storage() {
    static std::string name = "ferryroad";
    return name;
}

log4cxx::LevelPtr level_of(log_level level) {
    switch (level) {
        case log_level::debug:
            return log4cxx::Level::getDebug();
        case log_level::info:
            return log4cxx::Level::getInfo();
        case log_level::warning:
            return log4cxx::Level::getWarn();
        case log_level::error:
            break;
    }
    return log4cxx::Level::getError();
}

}  // namespace

void start_logging(std::string_view process_name, log_level lowest, log_output output) {
    process_name_storage() = process_name;
    const bool to_output = output == log_output::standard_output;
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    const int descriptor = to_output ? STDOUT_FILENO : STDERR_FILENO;
    auto appender = std::make_shared<appenders::bounded_appender>(layout, descriptor);
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(level_of(lowest));
}

bool log_enabled(log_level level) {
    return log4cxx::Logger::getRootLogger()->isEnabledFor(level_of(level));
}

void log(log_level level, std::string_view component, std::string_view message,
         std::initializer_list<log_field> fields) {
    const auto logger = log4cxx::Logger::getLogger(std::string(component));
    const auto native_level = level_of(level);
    if (!logger->isEnabledFor(native_level)) {
        return;
    }
    std::vector<std::unique_ptr<log4cxx::MDC>> context;
    context.reserve(fields.size() + 1);
    context.push_back(std::make_unique<log4cxx::MDC>("process", process_name_storage()));
    for (const log_field& field : fields) {
        context.push_back(std::make_unique<log4cxx::MDC>(std::string(field.name), field.value));
    }
    logger->log(native_level, std::string(message), log4cxx::spi::LocationInfo("", "", "", 0));
}

void log_exception(std::string_view component, const std::exception_ptr& failure) {
    if (is_cancellation(failure)) {
        return;
    }
    try {
        std::rethrow_exception(failure);
    } catch (const boost::system::system_error& error) {
        log(log_level::error, component, "coroutine ended by a system error",
            {{"error", error.what()}});
    } catch (const std::exception& error) {
        log(log_level::error, component, "coroutine ended by an exception",
            {{"error", error.what()}});
    }
}

}  // namespace ferryroad::runtime
