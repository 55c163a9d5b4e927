/// @file
/// Writes one attempt's events as the lines of a streamed answer.
#pragma once

#include "emulator/engine/attempt_streams.hpp"
#include "emulator/engine/connection_faults.hpp"
#include "ferryroad/http/server.hpp"

#include <memory>
#include <string>

namespace ferryroad::emulator {

/// How the writing of a stream ended.
enum class stream_ending {
    whole,     ///< The `end` line was written.
    replaced,  ///< Another connection reads the attempt now.
    cut,       ///< By a fault.
    closed     ///< The other side is gone.
};

/// One streamed answer on one connection.
class stream_writer {
  public:
    /// @param faults are looked at before each line. Both outlive the writer.
    stream_writer(base::attempt_id attempt, std::shared_ptr<attempt_reader> reader,
                  const connection_faults& faults, http::response_writer& connection);

    /// Writes until the stream's end or until the connection can't go on.
    runtime::task<stream_ending> run();

  private:
    /// Lines that are ready to go out together.
    struct batch {
        std::string lines;
        bool ended = false;
        bool cut = false;
    };

    runtime::task<stream_ending> write_all();
    batch take_batch();
    std::string line_of(const model_output& output) const;

    base::attempt_id attempt_;
    std::shared_ptr<attempt_reader> reader_;
    const connection_faults& faults_;
    http::response_writer& connection_;
    std::uint32_t tokens_written_ = 0;
};

}  // namespace ferryroad::emulator
