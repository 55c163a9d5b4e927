/// @file
/// Encoding of rows of external tables, as lists and within packed blocks. Internal to this
/// directory.
#pragma once

#include "ferryroad/coordination/reading/record.hpp"
#include "ferryroad/peer/codec_fields.hpp"

#include <vector>

namespace ferryroad::peer {

using row_list = offset_vector<wire::TableRow>;

offset<row_list> write_rows(buffer_builder& builder,
                            const std::vector<coordination::reading::record>& rows);
/// Reads rows. Faults are recorded in `reader`.
std::vector<coordination::reading::record> read_rows(field_reader& reader, const row_list* rows);

}  // namespace ferryroad::peer
