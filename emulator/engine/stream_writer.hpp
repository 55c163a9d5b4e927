/// @file
/// Writes the events of one attempt as the lines of a streamed answer.
#pragma once

#include "emulator/engine/attempt_streams.hpp"
#include "emulator/engine/connection_faults.hpp"
#include "ferryroad/http/server.hpp"

#include <memory>
#include <string>

namespace ferryroad::emulator {

/// Why the writing of a stream ended.
enum class stream_ending {
    complete,  ///< The `end` line was written.
    replaced,  ///< Another connection has taken over the attempt.
    cut,       ///< A fault cut the stream.
    closed     ///< The peer has closed the connection.
};

/// One streamed answer on one connection.
class stream_writer {
  public:
    /// @param faults are checked before each line; they and @p connection must outlive the writer.
    stream_writer(base::attempt_id attempt, std::shared_ptr<attempt_reader> reader,
                  const connection_faults& faults, http::response_writer& connection);

    /// Writes until the stream ends, is cut or replaced, or the connection fails.
    runtime::task<stream_ending> run();

  private:
    /// Lines that are sent in one write.
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
