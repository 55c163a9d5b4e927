/// @file
/// Rows of outside tables on the wire, alone and within packed blocks. Private to this folder.
#pragma once

#include "ferryroad/coordination/reading/record.hpp"
#include "ferryroad/peer/codec_fields.hpp"

#include <vector>

namespace ferryroad::peer {

using row_list = offset_vector<wire::TableRow>;

offset<row_list> write_rows(buffer_builder& builder,
                            const std::vector<coordination::reading::record>& rows);
/// The first fault is the reader's.
std::vector<coordination::reading::record> read_rows(field_reader& reader, const row_list* rows);

}  // namespace ferryroad::peer
