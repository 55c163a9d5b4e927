#include "emulator/engine/state_codec.hpp"

#include <boost/json/serialize.hpp>

namespace ferryroad::emulator {

namespace protocol = engine::protocol;

std::string encode(const exported_state& state) {
    return boost::json::serialize(
        boost::json::object{{"namespace", protocol::scope_json(state.scope)},
                            {"incarnation", state.process.value},
                            {"pieces", protocol::pieces_json(state.pieces)},
                            {"payload", state.payload},
                            {"checksum", state.checksum}});
}

protocol::decoded<exported_state> decode_state(std::string_view body) {
    return protocol::decode_with<exported_state>(body, [](http::object_reader& reader) {
        exported_state state;
        state.scope = protocol::read_scope(reader, "namespace");
        state.process = protocol::read_id<base::incarnation>(reader, "incarnation");
        state.pieces = protocol::read_pieces(reader, "pieces");
        state.payload = reader.text("payload");
        state.checksum = reader.text("checksum");
        return state;
    });
}

}  // namespace ferryroad::emulator
