#ifndef AGATECRANK_BASE_BIGENDIAN_H
#define AGATECRANK_BASE_BIGENDIAN_H

#include <glib.h>
#include <stdint.h>

/** BigEndian_Append() - append the lowest @bytes bytes of @number, at most 8 */
void BigEndian_Append(GString *out, uint64_t number, size_t bytes);

/** BigEndian_Read() - the number in @bytes bytes, at most 8 */
uint64_t BigEndian_Read(const char *data, size_t bytes);

#endif
